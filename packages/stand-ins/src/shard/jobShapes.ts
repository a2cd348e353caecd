/** Descriptions of jobs for a cell with one shard: a text notation for steps, and the jobs that seeded runs submit. */

import type { Step } from "puffinarch";
import { crashingImages, failingImages, plainStep } from "./shardCell.js";

const imageOf = (words: string): string => {
    if (words.includes("failing")) {
        const isFirst = words.includes("first failing");
        if (words.includes("failing twice")) {
            return isFirst ? failingImages.firstTwice : failingImages.allTwice;
        }
        return isFirst ? failingImages.first : failingImages.all;
    }
    if (words.includes("first crashing")) {
        return crashingImages.first;
    }
    return words.includes("crashing") ? crashingImages.all : plainStep.image;
};

/**
 * Parses the steps of a job from a text such as "3, 4 after 0, 2 gang, 1 of 8 accelerators for 2000 ms". Each step begins with
 * its number of tasks; "after 0" makes it depend on the first step.
 *
 * @example
 * const steps = readSteps("2 of 4 cores, 1 after 0");
 */
export const readSteps = (text: string): readonly Step[] =>
    text.split(",").map(each => {
        const words = each.trim();
        const after = /after (\d+)/.exec(words)?.[1];
        return {
            ...plainStep,
            count: Number.parseInt(words, 10),
            after: after === undefined ? [] : [Number(after)],
            gang: words.includes("gang"),
            longRunning: words.includes("long running"),
            speculative: words.includes("speculative"),
            checkpointing: words.includes("checkpointing"),
            image: imageOf(words),
            mayMiss: Number(/may miss (\d+)/.exec(words)?.[1] ?? 0),
            estimateMs: Number(/for (\d+) ms/.exec(words)?.[1] ?? plainStep.estimateMs),
            size: {
                ...plainStep.size,
                cpuMillis: 1_000 * Number(/of (\d+) cores/.exec(words)?.[1] ?? 1),
                accelerators: Number(/of (\d+) accelerators/.exec(words)?.[1] ?? 0),
            },
        };
    });

/** Returns the ID of the job with the given number: 16 hexadecimal digits. */
export const jobIdOf = (number: number): string => number.toString(16).padStart(16, "0");

/** Jobs that are submitted by default. */
export const randomShapes = ["2", "3, 4 after 0", "2, 2 after 0, 1 after 1", "4 gang", "3 speculative, 1 after 0"];
/** Jobs whose tasks need much of a worker, so that most of them wait for room. */
export const crowdedShapes = ["2 of 8 cores", "3 of 5 cores checkpointing, 2 of 8 cores after 0", "4 of 3 cores"];
/** Jobs whose tasks take several rows of the store, among small ones. */
export const wideShapes = [
    "2",
    "600 of 0 cores",
    "3, 4 after 0",
    "550 gang of 0 cores",
    "520 of 0 cores checkpointing, 2 after 0",
];
/** Gangs among jobs with many starts, which keep the owner busy. */
export const gangShapes = [
    "4 gang of 2 cores",
    "6 gang",
    "2, 3 gang of 3 cores after 0",
    "200 of 0 cores",
    "2 gang of 5 cores checkpointing",
];
/** Long-running jobs with tasks of three sizes; together they take 20 of the 48 cores of six workers. */
export const longRunningShapes = ["4 long running", "2 long running of 4 cores", "1 long running of 8 cores"];
/** Number of the first long-running job, above the numbers of all other jobs. */
export const firstLongRunningJobNumber = 9_001;
/** Jobs that can never be completed, as their tasks crash their workers; about one submitted job in five is one of these. */
export const crashingShapes = [
    "1 crashing",
    "3 first crashing",
    "4 speculative first crashing",
    "2 gang crashing",
    "1 long running crashing",
    "1, 6 crashing after 0",
];
/** Jobs that can never be completed, as their tasks fail by themselves; about one submitted job in five is one of these. */
export const failingShapes = [
    "1 failing",
    "3 first failing",
    "3 gang of 3 cores first failing",
    "3 gang of 3 cores failing",
    "2 gang of 5 cores first failing",
    "1, 3 gang of 3 cores first failing after 0",
];
/** Jobs that can be completed while the failing ones run; they include gangs that need two or three workers. */
export const completableShapes = [
    "2",
    "3, 4 after 0",
    "3 gang of 3 cores",
    "2 gang of 5 cores",
    "2 of 3 cores, 1 of 5 cores after 0",
];
/** Jobs whose tasks save checkpoints, most of them in gangs, with runs of several seconds. */
export const savingShapes = [
    "3 gang of 2 cores checkpointing for 3000 ms",
    "4 gang checkpointing for 5000 ms",
    "2 gang of 5 cores checkpointing for 4000 ms",
    "2 checkpointing for 3000 ms, 2 gang checkpointing for 2000 ms after 0",
];
/** Jobs of which some last as long as an outage of the store or a cut, so that ends fall into any moment of these. */
export const cuttingShapes = [
    "3, 4 after 0",
    "4 for 4000 ms, 2 after 0",
    "4 for 8000 ms",
    "6 for 12000 ms",
    "4 gang for 6000 ms",
    "3 checkpointing for 7000 ms",
    "3 speculative, 1 after 0",
];
/** A job that fills one worker for good, so that no other task fits on it. */
export const workerFillingShape = "1 long running of 8 cores";
/** Number of the job that fills a worker. */
export const workerFillingJobNumber = 9_101;
