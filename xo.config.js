/** Lint and format rules: XO's own, with the exceptions that the house style asks for. */
const config = [
	{ignores: ['**/dist/**', 'build/**', 'target/**', 'journal/**']},
	{
		rules: {
			// One task for each connection and peer is written straight down, so loops await in order.
			'no-await-in-loop': 'off',
		},
	},
	{
		// The codecs of the platform read fields under the names of its wire.
		files: ['platform/src/**/*-codec.ts', 'platform/src/__tests__/codecs.test.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
];

export default config;
