/** Lists the runners that a gang tries together. */
import type { Candidate } from "./placement_policy.ts";
import type { ReadyStep } from "./ready_step.ts";

/**
 * Lists the groups of runners that a gang tries. One that wants one rack tries each
 * rack, the emptiest first, and then all runners of the pool.
 *
 * @param ready - The step of the gang.
 * @param candidates - Runners of the pool.
 * @returns The groups, the first one first.
 */
export function listGangCandidates(
  { step }: ReadyStep,
  candidates: readonly Candidate[],
): (readonly Candidate[])[] {
  if (!step.wantsOneRack) {
    return [candidates];
  }
  const byRack = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const rack = byRack.get(candidate.rack) ?? [];
    rack.push(candidate);
    byRack.set(candidate.rack, rack);
  }
  const racks = [...byRack.values()].toSorted((left, right) =>
    sumFree(right) - sumFree(left)
  );
  return [...racks, candidates];
}

function sumFree(candidates: readonly Candidate[]): number {
  return candidates.reduce((sum, { free }) => sum + free.cpuMillicores, 0);
}
