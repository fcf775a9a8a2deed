/** Lint and format rules: XO's own, with the exceptions that the house style asks for. */
const config = [
	{ignores: ['**/dist/**', 'build/**']},
	{
		rules: {
			// One task for each connection and peer is written straight down, so loops await in order.
			'no-await-in-loop': 'off',
		},
	},
];

export default config;
