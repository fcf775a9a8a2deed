/** Parses the command line, runs the command, writes errors to standard error and returns the exit code. */
import process from 'node:process';
import {cac, type CAC} from 'cac';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {codes} from '@mulberrypitch/errors/catalogue';
import {addAccountCommands} from './commands/account.js';
import {addConfigCommand} from './commands/config.js';
import {addDemoCommand} from './commands/demo.js';
import {addDrainCommand} from './commands/drain.js';
import {addExplainCommand} from './commands/explain.js';
import {addLoadCommand} from './commands/load.js';
import {addReportCommand} from './commands/report.js';
import {addServeCommand} from './commands/serve.js';
import {addStatusCommand} from './commands/status.js';

const version = '0.1.0';

/** Exit codes of the program. */
export const exitCodes = {
	ok: 0,
	failed: 1,
	/** No command, an unknown command or option, or a missing argument. */
	usage: 2,
	/**
	An invalid option value, settings file or configuration, an unknown report, an output file that can't be written, or an
	address that can't be listened on.
	*/
	settings: 3,
	/** The change conflicts with the current state, for example because another configuration revision is in force. */
	conflict: 4,
	/** A host can't be reached or did not respond in time. */
	unreachable: 5,
} as const;

/**
Runs the command given by `argv` and returns the exit code. Errors are written to standard error.

@example
```
process.exitCode = await runProgram(process.argv);
```
*/
export async function runProgram(argv: readonly string[]): Promise<number> {
	const program = cac('mulberrypitch');
	addServeCommand(program);
	addDemoCommand(program);
	addConfigCommand(program);
	addStatusCommand(program);
	addDrainCommand(program);
	addAccountCommands(program);
	addReportCommand(program);
	addExplainCommand(program);
	addLoadCommand(program);
	program.help();
	program.version(version);
	try {
		program.parse([...argv], {run: false});
		return await runMatchedCommand(program);
	} catch (error) {
		return reportFailure(error);
	}
}

async function runMatchedCommand(program: CAC): Promise<number> {
	if (program.options.help === true || program.options.version === true) {
		return exitCodes.ok;
	}

	if (program.matchedCommand === undefined) {
		const commandName = program.args[0];
		process.stderr.write(commandName === undefined ? 'No command given. Run "mulberrypitch --help".\n' : `"${commandName}" is not a command. Run "mulberrypitch --help".\n`);
		return exitCodes.usage;
	}

	await program.runMatchedCommand();
	return exitCodes.ok;
}

function reportFailure(error: unknown): number {
	if (error instanceof CodedError) {
		process.stderr.write(`${error.message} ${error.nextStep} [${error.code}]\n`);
		return getExitCode(error.code);
	}

	if (error instanceof Error && error.name === 'CACError') {
		process.stderr.write(`${error.message}. Run "mulberrypitch --help".\n`);
		return exitCodes.usage;
	}

	process.stderr.write(`Unexpected failure: ${getMessage(error)}. Report this with the command line. [${codes.internal}]\n`);
	return exitCodes.failed;
}

function getExitCode(code: string): number {
	switch (code) {
		case codes.listen:
		case codes.settings: {
			return exitCodes.settings;
		}

		case codes.conflict: {
			return exitCodes.conflict;
		}

		case codes.peerUnreachable:
		case codes.timeout: {
			return exitCodes.unreachable;
		}

		default: {
			return exitCodes.failed;
		}
	}
}
