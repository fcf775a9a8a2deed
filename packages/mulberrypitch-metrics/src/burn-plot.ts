/** Draws the burn-rate report as one self-contained SVG image. */
import {alarms, type BurnLine} from './burn-report.js';

const width = 960;
const rowHeight = 64;
const headerHeight = 56;
const labelWidth = 380;
const plotHeight = 44;
const padding = 12;
/** Time range of the plot. */
const rangeMinutes = 360;
/** Burn rate at the top of the plot; higher rates are clipped. */
const maxBurn = 20;
const colours = {[alarms.none]: '#2f7d4f', [alarms.slow]: '#b8860b', [alarms.fast]: '#b03030'} as const;

/**
Returns an SVG image with one row for each line: names and burn rates on the left, the burn rate over the last six hours on the
right. `at` is the time of the report.

@example
```
writeFileSync('burn.svg', drawBurn(lines, new Date()));
```
*/
export function drawBurn(lines: readonly BurnLine[], at: Date): string {
	const height = headerHeight + (Math.max(1, lines.length) * rowHeight) + padding;
	const rows = lines.map((line, index) => drawRow(line, headerHeight + (index * rowHeight)));
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="13">`,
		`<rect width="${width}" height="${height}" fill="#ffffff"/>`,
		`<text x="${padding}" y="24" font-size="16">Service-level burn at ${at.toISOString()}</text>`,
		`<text x="${padding}" y="44" fill="#555555">5 min / 1 h / 6 h; 1 spends the allowance exactly</text>`,
		`<text x="${labelWidth}" y="44" fill="#555555">6 h ago</text>`,
		`<text x="${width - padding}" y="44" text-anchor="end" fill="#555555">now</text>`,
		...(lines.length === 0 ? [`<text x="${padding}" y="${headerHeight + 24}">No requests recorded.</text>`] : rows),
		'</svg>',
		'',
	].join('\n');
}

function drawRow(line: BurnLine, top: number): string {
	const rates = [line.fast, line.medium, line.slow].map(({burn}) => burn.toFixed(2)).join(' / ');
	const bottom = top + plotHeight;
	const colour = colours[line.alarm];
	const limit = getY(1, bottom);
	return [
		`<text x="${padding}" y="${top + 18}">${escapeText(`${line.service} · ${line.workspace} · ${line.measure}`)}</text>`,
		`<text x="${padding}" y="${top + 36}" fill="${colour}">${rates}${line.alarm === alarms.none ? '' : ` (${line.alarm} alarm)`}</text>`,
		`<rect x="${labelWidth}" y="${top}" width="${width - labelWidth - padding}" height="${plotHeight}" fill="#f4f4f4"/>`,
		`<line x1="${labelWidth}" x2="${width - padding}" y1="${limit}" y2="${limit}" stroke="#999999" stroke-dasharray="4 3"/>`,
		...line.history.filter(({burn}) => burn > 0).map(({age, burn}) => drawBar(age, burn, bottom, colour)),
	].join('\n');
}

function drawBar(age: number, burn: number, bottom: number, colour: string): string {
	const barWidth = (width - labelWidth - padding) / rangeMinutes;
	const x = width - padding - ((age + 1) * barWidth);
	const y = getY(burn, bottom);
	return `<rect x="${x.toFixed(1)}" y="${y}" width="${Math.max(1, barWidth).toFixed(1)}" height="${(bottom - y).toFixed(1)}" fill="${colour}"/>`;
}

/** Returns the vertical position of a burn rate, rounded to a tenth of a pixel. */
function getY(burn: number, bottom: number): number {
	return Math.round((bottom - (Math.min(burn, maxBurn) / maxBurn * plotHeight)) * 10) / 10;
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
