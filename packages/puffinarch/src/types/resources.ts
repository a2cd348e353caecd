/** Amounts of processors, memory and accelerators, and the arithmetic on them. */

/** An amount of each resource. */
export interface Resources {
    /** Processors in thousandths of a core. */
    readonly cpuMillis: number;
    /** Memory in mebibytes. */
    readonly memoryMib: number;
    /** Number of whole accelerators. */
    readonly accelerators: number;
}

/** Zero of each resource. */
export const noResources: Resources = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };

/**
 * Adds two amounts.
 *
 * @example
 * add({ cpuMillis: 500, memoryMib: 64, accelerators: 0 }, noResources).cpuMillis; // 500
 */
export const add = (left: Resources, right: Resources): Resources => ({
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMib: left.memoryMib + right.memoryMib,
    accelerators: left.accelerators + right.accelerators,
});

/**
 * Subtracts the second amount from the first; the result may be negative.
 *
 * @example
 * subtract({ cpuMillis: 500, memoryMib: 64, accelerators: 0 }, noResources).memoryMib; // 64
 */
export const subtract = (left: Resources, right: Resources): Resources => ({
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMib: left.memoryMib - right.memoryMib,
    accelerators: left.accelerators - right.accelerators,
});

/**
 * Multiplies an amount by a whole number.
 *
 * @example
 * scale({ cpuMillis: 500, memoryMib: 64, accelerators: 1 }, 3).accelerators; // 3
 */
export const scale = (amount: Resources, times: number): Resources => ({
    cpuMillis: amount.cpuMillis * times,
    memoryMib: amount.memoryMib * times,
    accelerators: amount.accelerators * times,
});

/**
 * Returns whether an amount is at most the available one in every dimension.
 *
 * @example
 * fits(noResources, noResources); // true
 */
export const fits = (amount: Resources, available: Resources): boolean =>
    amount.cpuMillis <= available.cpuMillis
    && amount.memoryMib <= available.memoryMib
    && amount.accelerators <= available.accelerators;

/**
 * Returns how many times an amount fits into the available one; `Infinity` for an amount of nothing.
 *
 * @example
 * timesThatFit({ cpuMillis: 500, memoryMib: 0, accelerators: 0 }, { cpuMillis: 1_200, memoryMib: 64, accelerators: 0 }); // 2
 */
export const timesThatFit = (amount: Resources, available: Resources): number => {
    if (!fits(amount, available)) {
        return 0;
    }
    const { cpuMillis, memoryMib, accelerators } = amount;
    return Math.min(
        cpuMillis === 0 ? Infinity : Math.floor(available.cpuMillis / cpuMillis),
        memoryMib === 0 ? Infinity : Math.floor(available.memoryMib / memoryMib),
        accelerators === 0 ? Infinity : Math.floor(available.accelerators / accelerators),
    );
};

/**
 * Returns the smaller of two amounts in each dimension.
 *
 * @example
 * smallest({ cpuMillis: 1, memoryMib: 9, accelerators: 0 }, { cpuMillis: 5, memoryMib: 2, accelerators: 0 });
 * // { cpuMillis: 1, memoryMib: 2, accelerators: 0 }
 */
export const smallest = (left: Resources, right: Resources): Resources => ({
    cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
    memoryMib: Math.min(left.memoryMib, right.memoryMib),
    accelerators: Math.min(left.accelerators, right.accelerators),
});

/**
 * Returns the larger of two amounts in each dimension.
 *
 * @example
 * largest({ cpuMillis: 1, memoryMib: 9, accelerators: 0 }, { cpuMillis: 5, memoryMib: 2, accelerators: 0 });
 * // { cpuMillis: 5, memoryMib: 9, accelerators: 0 }
 */
export const largest = (left: Resources, right: Resources): Resources => ({
    cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
    memoryMib: Math.max(left.memoryMib, right.memoryMib),
    accelerators: Math.max(left.accelerators, right.accelerators),
});
