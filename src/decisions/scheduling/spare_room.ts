/** Tells which VMs may be taken from their pools without harm to work. */
import { computeWantedMillicores, type PoolLoad } from "./capacity_policy.ts";

/** A VM that may be taken, as far as room is concerned. */
export interface RoomyVm {
  readonly pool: string;
  readonly cpuMillicores: number;
  /** Whether it gets no new work, so that its pool goes without it already. */
  readonly isCordoned: boolean;
}

/**
 * The capacity that pools have beyond what their work needs. What other pools
 * lack is set aside, and so is what the next turn of a pool may need: as much as
 * the largest demand of a pool now.
 */
export class SpareRoom {
  readonly #byPool = new Map<string, number>();
  #totalMillicores = 0;

  /**
   * @param pools - Demand and capacity of the pools.
   * @param vms - The VMs that may be taken.
   */
  constructor(pools: readonly PoolLoad[], vms: readonly RoomyVm[]) {
    const serving = pools.filter(({ isStandby }) => !isStandby);
    for (const load of pools) {
      const wantedMillicores = load.isStandby
        ? 0
        : computeWantedMillicores(load);
      this.#add(load.pool, load.capacityMillicores - wantedMillicores);
    }
    if (serving.length > 1) {
      this.#totalMillicores -= Math.max(
        ...serving.map((load) => computeWantedMillicores(load)),
      );
    }
    for (const { cpuMillicores, isCordoned, pool } of vms) {
      if (isCordoned) {
        this.#add(pool, cpuMillicores);
      }
    }
  }

  /** Returns the spare capacity of a pool, in millicores; negative for a lack. */
  find(pool: string): number {
    return this.#byPool.get(pool) ?? 0;
  }

  /** Returns whether a VM can be spared. */
  has({ cpuMillicores, pool }: RoomyVm): boolean {
    return this.find(pool) >= cpuMillicores &&
      this.#totalMillicores >= cpuMillicores;
  }

  /** Records that a VM is taken. */
  take({ cpuMillicores, pool }: RoomyVm): void {
    this.#add(pool, -cpuMillicores);
  }

  #add(pool: string, millicores: number): void {
    this.#byPool.set(pool, this.find(pool) + millicores);
    this.#totalMillicores += millicores;
  }
}
