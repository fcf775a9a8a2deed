/**
 * Builds the `mulberrypitch` binary as a Node.js single executable application: bundles the command into one CommonJS file,
 * generates a blob from it and injects the blob into a copy of the `node` binary.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import path from 'node:path';
import {build} from 'esbuild';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const root = path.resolve(import.meta.dirname, '..');
const output = path.join(root, 'build');

/**
 * @param {string} name Name of the binary.
 * @param {string} entryPoint Path of the compiled main module.
 */
async function buildBinary(name, entryPoint) {
	const bundle = path.join(output, `${name}.cjs`);
	const blob = path.join(output, `${name}.blob`);
	const binary = path.join(output, name);
	const seaConfig = path.join(output, `${name}.sea.json`);
	await build({
		entryPoints: [path.join(root, entryPoint)],
		outfile: bundle,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		logLevel: 'error',
	});
	writeFileSync(seaConfig, JSON.stringify({main: bundle, output: blob, disableExperimentalSEAWarning: true}));
	execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], {stdio: 'pipe'});
	rmSync(binary, {force: true});
	copyFileSync(process.execPath, binary);
	execFileSync(process.execPath, [path.join(root, 'node_modules/postject/dist/cli.js'), binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', FUSE], {stdio: 'pipe'});
	chmodSync(binary, 0o755);
}

mkdirSync(output, {recursive: true});
await buildBinary('mulberrypitch', 'packages/mulberrypitch/dist/main.js');
