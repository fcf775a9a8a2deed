/** Entry point of the `mulberrypitch` command. */
import process from 'node:process';
import {endWhenOutputIsClosed} from './closed-output.js';
import {runProgram} from './program.js';

endWhenOutputIsClosed();
// The binary is a CommonJS bundle, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void (async () => {
	process.exitCode = await runProgram(process.argv);
})();
