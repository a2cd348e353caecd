/** Draws the 90th percentile of each stage as a bar chart with one row per group. */

import { type StageName, stageNames } from "./stages.js";
import type { GroupSummary } from "./summary.js";

const colours: Readonly<Record<StageName, string>> = {
    refused: "#b2182b",
    advice: "#ef8a62",
    room: "#fddbc7",
    repeat: "#d1e5f0",
    run: "#67a9cf",
    end: "#2166ac",
};
const widthPx = 900;
const labelPx = 260;
const rowPx = 26;
const barPx = 18;
const topPx = 40;

const escapeText = (text: string): string =>
    text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");

const legend = (): string =>
    stageNames.map((name, index) =>
        `<rect x="${labelPx + 100 * index}" y="10" width="12" height="12" fill="${colours[name]}"/>`
        + `<text x="${labelPx + 100 * index + 16}" y="20">${name}</text>`
    ).join("");

const rowOf = ({ name, stages }: GroupSummary, index: number, pxPerMs: number): string => {
    const y = topPx + index * rowPx;
    let x = labelPx;
    let bars = "";
    for (const stage of stageNames) {
        const width = stages[stage].p90Ms * pxPerMs;
        bars += `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" height="${barPx}" fill="${
            colours[stage]
        }"><title>${stage}: ${stages[stage].p90Ms} ms</title></rect>`;
        x += width;
    }
    return `<text x="4" y="${y + barPx - 4}">${escapeText(name)}</text>${bars}`;
};

/**
 * Draws groups as an SVG.
 *
 * @example
 * writeFileSync("waterfall.svg", drawWaterfall(summarize(jobs, job => job.queue)));
 */
export const drawWaterfall = (groups: readonly GroupSummary[]): string => {
    const longestMs = Math.max(
        1,
        ...groups.map(({ stages }) => stageNames.reduce((sum, stage) => sum + stages[stage].p90Ms, 0)),
    );
    const pxPerMs = (widthPx - labelPx) / longestMs;
    const rows = groups.map((group, index) => rowOf(group, index, pxPerMs)).join("\n");
    const heightPx = topPx + rowPx * groups.length + rowPx;
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" font-family="sans-serif" `
        + `font-size="12">\n${legend()}\n${rows}\n<text x="${labelPx}" y="${heightPx - 8}">p90 of each stage, ${
            Math.round(longestMs)
        } ms at the right edge</text>\n</svg>\n`;
};
