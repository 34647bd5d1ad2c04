/** Finds the pools whose selectors claim a VM. */
import {
  matchesSelector,
  type Pool,
  type StoredResource,
  type Vm,
} from "../../domain/index.ts";

/** Index of pools by selector, so that not every pool is tried for a VM. */
export class PoolClaims {
  readonly #byFirstLabel = new Map<string, StoredResource<Pool>[]>();
  readonly #unselective: StoredResource<Pool>[] = [];

  /** @param pools - All declared pools. */
  constructor(pools: readonly StoredResource<Pool>[]) {
    for (const pool of pools) {
      this.#add(pool);
    }
  }

  /**
   * Lists the pools whose selectors claim a VM.
   *
   * @param vm - The VM.
   * @returns The pools that match. More than one is an error in the
   * configuration.
   */
  list(vm: Vm): StoredResource<Pool>[] {
    const candidates = Object.entries(vm.labels).flatMap(([label, value]) =>
      this.#byFirstLabel.get(`${label}=${value}`) ?? []
    );
    return [...this.#unselective, ...candidates].filter(({ resource }) =>
      matchesSelector(resource.vmSelector, vm.labels)
    );
  }

  /**
   * Finds the pool that a VM should be in.
   *
   * @param vm - The VM.
   * @returns The one pool that claims it, or undefined when none or several do.
   */
  findDesired(vm: Vm): StoredResource<Pool> | undefined {
    const claiming = this.list(vm);
    return claiming.length === 1 ? claiming[0] : undefined;
  }

  // A VM matches a pool only if it matches the first label of the pool's
  // selector, so an index over these labels finds all candidates.
  #add(pool: StoredResource<Pool>): void {
    const first = Object.entries(pool.resource.vmSelector)[0];
    if (first === undefined) {
      this.#unselective.push(pool);
      return;
    }
    const [label, values] = first;
    for (const value of new Set(values)) {
      const key = `${label}=${value}`;
      const known = this.#byFirstLabel.get(key) ?? [];
      known.push(pool);
      this.#byFirstLabel.set(key, known);
    }
  }
}
