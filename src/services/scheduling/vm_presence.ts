/** Remembers what the lists of VMs have shown, across lists with gaps. */
import type { Runner } from "../../domain/index.ts";
import type { ListedVm, VmListing } from "../../ports/index.ts";
import { VM_EMPTY_MS, VM_GONE_MS } from "./timing.ts";

interface VmRecord {
  /** Steady time of the first list in a row without the VM (ms). */
  readonly missingSinceMs: number | undefined;
  /** The same for lists without a runner on it (ms). */
  readonly emptySinceMs: number | undefined;
  /** Runner that was last listed on it. */
  readonly runnerId: string | undefined;
}

/** Options of {@link VmPresence}. */
export interface VmPresenceOptions {
  /** Returns a runner that the leader knows. */
  readonly findRunner: (runnerId: string) => Runner | undefined;
}

/**
 * Tells whether VMs are gone, and which runner is on a VM whose entry names none.
 * One list alone shows neither: an entry may be unreadable or left out.
 */
export class VmPresence {
  readonly #options: VmPresenceOptions;
  readonly #records = new Map<string, VmRecord>();

  constructor(options: VmPresenceOptions) {
    this.#options = options;
  }

  /**
   * Records a list, and forgets the VMs that are not followed any more.
   *
   * @param names - The VMs to be followed.
   * @param listing - The list.
   * @param atMs - Steady time at which it was requested (ms).
   */
  record(
    names: readonly string[],
    { vms, isComplete }: VmListing,
    atMs: number,
  ): void {
    const byName = new Map(vms.map((listed) => [listed.vm, listed]));
    const earlier = new Map(this.#records);
    this.#records.clear();
    for (const vm of names) {
      const known = earlier.get(vm);
      const listed = byName.get(vm);
      const isMissing = listed === undefined && isComplete;
      const isEmpty = listed?.state === "up" && listed.runnerId === undefined;
      this.#records.set(vm, {
        missingSinceMs: isMissing ? known?.missingSinceMs ?? atMs : undefined,
        emptySinceMs: isEmpty ? known?.emptySinceMs ?? atMs : undefined,
        runnerId: listed?.runnerId ?? known?.runnerId,
      });
    }
  }

  /**
   * Returns since when a VM may be gone: lists have left it out for
   * {@link VM_GONE_MS}, and the runner on it is gone or drains. A runner that
   * drains may go on for a while after its VM has left the list.
   *
   * @param vm - Name of the VM.
   * @param atMs - Steady time of the newest list (ms).
   * @returns Steady time (ms); undefined for a VM that is not gone.
   */
  findGoneSinceMs(vm: string, atMs: number): number | undefined {
    const { missingSinceMs = Infinity } = this.#records.get(vm) ?? {};
    const runner = this.#findKnownRunner(vm);
    const goneSinceMs = missingSinceMs + VM_GONE_MS;
    const isGone = (runner === undefined || runner.isDraining) &&
      goneSinceMs <= atMs;
    return isGone ? goneSinceMs : undefined;
  }

  /**
   * Completes the entry of a VM that is up without a runner: with the runner that
   * was listed before, if the leader knows it still, else with an unknown state
   * until no runner has been listed for {@link VM_EMPTY_MS}.
   *
   * @param listed - The entry.
   * @param atMs - Steady time of the newest list (ms).
   */
  complete(listed: ListedVm, atMs: number): ListedVm {
    const { emptySinceMs } = this.#records.get(listed.vm) ?? {};
    if (emptySinceMs === undefined) {
      return listed;
    }
    const runner = this.#findKnownRunner(listed.vm);
    if (runner !== undefined) {
      return { ...listed, runnerId: runner.runnerId };
    }
    return atMs - emptySinceMs >= VM_EMPTY_MS
      ? listed
      : { ...listed, state: "unknown" };
  }

  #findKnownRunner(vm: string): Runner | undefined {
    const { runnerId } = this.#records.get(vm) ?? {};
    return runnerId === undefined
      ? undefined
      : this.#options.findRunner(runnerId);
  }
}
