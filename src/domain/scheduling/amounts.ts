/** Amounts of CPU, memory and GPUs. */
import * as v from "valibot";

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of {@link Amounts}. */
export const amountsSchema = v.object({
  /** CPU in thousandths of a core. */
  cpuMillicores: v.optional(countSchema, 0),
  memoryMb: v.optional(countSchema, 0),
  gpuCount: v.optional(countSchema, 0),
});

/** Amounts that a task needs, a runner has, or a team may use. */
export type Amounts = v.InferOutput<typeof amountsSchema>;

/** The zero amounts. */
export const NO_AMOUNTS: Amounts = {
  cpuMillicores: 0,
  memoryMb: 0,
  gpuCount: 0,
};

/**
 * Adds a multiple of some amounts to others.
 *
 * @param left - The amounts to add to.
 * @param right - The amounts to add.
 * @param factor - Factor by which `right` is multiplied; negative to subtract.
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
 * Checks whether amounts fit into the free capacity.
 *
 * @param wanted - The amounts needed.
 * @param free - The amounts that are free.
 * @returns True when no needed amount exceeds the free one.
 */
export function fitsInto(wanted: Amounts, free: Amounts): boolean {
  return wanted.cpuMillicores <= free.cpuMillicores &&
    wanted.memoryMb <= free.memoryMb && wanted.gpuCount <= free.gpuCount;
}

/**
 * Checks whether amounts are within a limit.
 *
 * @param used - Amounts in use, including the ones to be added.
 * @param limit - The limit; 0 means unlimited.
 * @returns True when no amount exceeds its limit.
 */
export function isWithinLimit(used: Amounts, limit: Amounts): boolean {
  return isAmountWithinLimit(used.cpuMillicores, limit.cpuMillicores) &&
    isAmountWithinLimit(used.memoryMb, limit.memoryMb) &&
    isAmountWithinLimit(used.gpuCount, limit.gpuCount);
}

function isAmountWithinLimit(used: number, limit: number): boolean {
  return limit === 0 || used <= limit;
}
