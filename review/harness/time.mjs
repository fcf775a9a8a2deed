/** Waiting and drawing by lot. */

/** Resolves after a time in milliseconds. */
export async function wait(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Returns a random integer below a limit. */
export function pick(limit) {
	return Math.floor(Math.random() * limit);
}
