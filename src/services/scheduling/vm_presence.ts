/** Remembers what the lists of VMs have shown, across lists with gaps. */
import type { ListedVm, VmListing } from "../../ports/index.ts";
import { VM_EMPTY_MS, VM_GONE_MS } from "./timing.ts";

interface VmRecord {
  /** Monotonic time of the first list in a row without the VM (ms). */
  readonly missingSinceMs: number | undefined;
  /** The same for lists without a runner on it (ms). */
  readonly emptySinceMs: number | undefined;
  /** Runner that was last listed on it. */
  readonly runnerId: string | undefined;
}

/** Options of {@link VmPresence}. */
export interface VmPresenceOptions {
  /** Returns whether a runner is known to the leader. */
  readonly hasRunner: (runnerId: string) => boolean;
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
   * @param atMs - Monotonic time at which it was requested (ms).
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
   * Tells whether the platform no longer has a VM.
   *
   * @param vm - Name of the VM.
   * @param atMs - Monotonic time of the newest list (ms).
   */
  isGone(vm: string, atMs: number): boolean {
    const { missingSinceMs = Infinity } = this.#records.get(vm) ?? {};
    return this.#findKnownRunner(vm) === undefined &&
      atMs - missingSinceMs >= VM_GONE_MS;
  }

  /**
   * Completes the entry of a VM that is up without a runner: with the runner that
   * was listed before, if the leader knows it still, else with an unknown state
   * until no runner has been listed for {@link VM_EMPTY_MS}.
   *
   * @param listed - The entry.
   * @param atMs - Monotonic time of the newest list (ms).
   */
  complete(listed: ListedVm, atMs: number): ListedVm {
    const { emptySinceMs } = this.#records.get(listed.vm) ?? {};
    if (emptySinceMs === undefined) {
      return listed;
    }
    const runnerId = this.#findKnownRunner(listed.vm);
    if (runnerId !== undefined) {
      return { ...listed, runnerId };
    }
    return atMs - emptySinceMs >= VM_EMPTY_MS
      ? listed
      : { ...listed, state: "unknown" };
  }

  #findKnownRunner(vm: string): string | undefined {
    const { runnerId } = this.#records.get(vm) ?? {};
    return runnerId !== undefined && this.#options.hasRunner(runnerId)
      ? runnerId
      : undefined;
  }
}
