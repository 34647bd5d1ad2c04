/** Tells which steps the VMs of a deployment could run at all. */
import {
  type Amounts,
  computeReservedAmounts,
  fitsInto,
  type JobStep,
} from "../../domain/index.ts";

/** What a VM offers, whatever runs on it now. */
export interface Host {
  readonly capacity: Amounts;
  /** Undefined if they are not known. */
  readonly labels: readonly string[] | undefined;
}

/**
 * The capacity of all VMs of a deployment, which may move between pools. Work
 * that fits on none of them waits for good, so nothing may be held for it.
 */
export class HostCapacity {
  readonly #hosts: readonly Host[];
  /** Hosts by label; the whole list under `undefined`. */
  readonly #byLabel = new Map<string | undefined, readonly Host[]>();

  /** @param hosts - All VMs, or the runners on them. */
  constructor(hosts: readonly Host[]) {
    this.#hosts = hosts;
  }

  /**
   * Tells whether a step could start if nothing else ran.
   *
   * @param step - The step.
   * @returns True when a VM has the label and the size that its tasks need; for a
   * gang, when all members have room at the same time.
   */
  canRun(step: JobStep): boolean {
    const held = computeReservedAmounts(step);
    const neededCount = step.isGang ? step.taskCount : 1;
    let count = 0;
    for (const { capacity } of this.#listHosts(step.requiredLabel)) {
      count += countFitting(held, capacity, step.maxPerRunner);
      if (count >= neededCount) {
        return true;
      }
    }
    return false;
  }

  #listHosts(label: string | undefined): readonly Host[] {
    const known = this.#byLabel.get(label);
    if (known !== undefined) {
      return known;
    }
    const hosts = label === undefined
      ? this.#hosts
      : this.#hosts.filter(({ labels }) => labels?.includes(label) ?? true);
    this.#byLabel.set(label, hosts);
    return hosts;
  }
}

/** Counts the tasks that fit on one VM, up to a limit unless that is 0. */
function countFitting(
  held: Amounts,
  capacity: Amounts,
  limitCount: number,
): number {
  if (!fitsInto(held, capacity)) {
    return 0;
  }
  const fitting = Math.min(
    divide(capacity.cpuMillicores, held.cpuMillicores),
    divide(capacity.memoryMb, held.memoryMb),
    divide(capacity.gpuCount, held.gpuCount),
  );
  return limitCount === 0 ? fitting : Math.min(fitting, limitCount);
}

function divide(available: number, needed: number): number {
  return needed === 0 ? Infinity : Math.floor(available / needed);
}
