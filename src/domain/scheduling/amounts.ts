/** Amounts of processor, memory and accelerators. */
import * as v from "valibot";

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of {@link Amounts}. */
export const amountsSchema = v.object({
  /** Thousandths of a core. */
  cpuMillicores: v.optional(countSchema, 0),
  memoryMb: v.optional(countSchema, 0),
  gpuCount: v.optional(countSchema, 0),
});

/** What a task needs, a runner has, or a team may use. */
export type Amounts = v.InferOutput<typeof amountsSchema>;

/** Nothing at all. */
export const NO_AMOUNTS: Amounts = {
  cpuMillicores: 0,
  memoryMb: 0,
  gpuCount: 0,
};

/**
 * Adds amounts.
 *
 * @param left - Amounts.
 * @param right - Amounts.
 * @param factor - How many times `right` is added; negative to subtract.
 * @returns The sum.
 */
export function addAmounts(
  left: Amounts,
  right: Amounts,
  factor = 1,
): Amounts {
  return {
    cpuMillicores: left.cpuMillicores + factor * right.cpuMillicores,
    memoryMb: left.memoryMb + factor * right.memoryMb,
    gpuCount: left.gpuCount + factor * right.gpuCount,
  };
}

/**
 * Tells whether amounts fit.
 *
 * @param wanted - What is needed.
 * @param free - What is left.
 * @returns True when no amount exceeds what is left.
 */
export function fitsInto(wanted: Amounts, free: Amounts): boolean {
  return wanted.cpuMillicores <= free.cpuMillicores &&
    wanted.memoryMb <= free.memoryMb && wanted.gpuCount <= free.gpuCount;
}

/**
 * Tells whether amounts stay below a limit in which 0 means unlimited.
 *
 * @param used - Amounts in use, the new ones included.
 * @param limit - The limit.
 * @returns True when no limited amount is exceeded.
 */
export function isWithinLimit(used: Amounts, limit: Amounts): boolean {
  return isAmountWithinLimit(used.cpuMillicores, limit.cpuMillicores) &&
    isAmountWithinLimit(used.memoryMb, limit.memoryMb) &&
    isAmountWithinLimit(used.gpuCount, limit.gpuCount);
}

function isAmountWithinLimit(used: number, limit: number): boolean {
  return limit === 0 || used <= limit;
}
