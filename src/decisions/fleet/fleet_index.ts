/** Indexes the configuration in force for fast look-ups. */
import {
  type Binding,
  type FleetState,
  type Key,
  matchesSelector,
  type Pool,
  type Queue,
  type StoredResource,
  type Team,
  type Vm,
  type Zone,
} from "../../domain/index.ts";
import { PoolClaims } from "./pool_claims.ts";
import { listZonesOut, type ZoneOut } from "./zones_out.ts";

/** A VM with its present pool, if any. */
export interface PlacedVm {
  readonly vm: StoredResource<Vm>;
  /**
   * Pool of the VM; undefined when it has none and no single pool claims it.
   */
  readonly pool: string | undefined;
  /** False while a move, a drain or a reboot keeps the VM from getting work. */
  readonly serving: boolean;
}

/** Index of one version of the configuration. */
export class FleetIndex {
  readonly #state: FleetState;
  readonly #keysByDigest = new Map<string, StoredResource<Key>>();
  readonly #bindingsByPair = new Map<
    string,
    StoredResource<Binding> | undefined
  >();
  readonly #poolsByQueue = new Map<string, readonly StoredResource<Pool>[]>();
  readonly #vms = new Map<string, PlacedVm>();
  readonly #zonesOut: ReadonlyMap<string, ZoneOut>;

  constructor(state: FleetState) {
    this.#state = state;
    for (const key of state.list("key")) {
      this.#keysByDigest.set(key.resource.digest, key);
    }
    this.#zonesOut = listZonesOut(state);
    const claims = new PoolClaims(state.list("pool"));
    for (const vm of state.list("vm")) {
      this.#vms.set(vm.resource.name, placeVm(state, vm, claims));
    }
  }

  /** Revision of the configuration that this index was built from. */
  get revision(): number {
    return this.#state.revision;
  }

  /** Finds a key by the digest of its secret. */
  findKey(digest: string): StoredResource<Key> | undefined {
    return this.#keysByDigest.get(digest);
  }

  /** Finds a team by name. */
  findTeam(name: string): StoredResource<Team> | undefined {
    return this.#state.find("team", name);
  }

  /** Finds a queue by name. */
  findQueue(name: string): StoredResource<Queue> | undefined {
    return this.#state.find("queue", name);
  }

  /** Finds a zone by name. */
  findZone(name: string): StoredResource<Zone> | undefined {
    return this.#state.find("zone", name);
  }

  /** Finds a VM, with its present pool, by name. */
  findVm(name: string): PlacedVm | undefined {
    return this.#vms.get(name);
  }

  /** Lists all VMs with their present pools. */
  listVms(): PlacedVm[] {
    return [...this.#vms.values()];
  }

  /**
   * Finds the binding that lets a team use a queue.
   *
   * @param team - The team.
   * @param queue - The queue.
   * @returns The first binding whose selectors match both, or undefined.
   */
  findBinding(team: Team, queue: Queue): StoredResource<Binding> | undefined {
    const pair = `${team.name} ${queue.name}`;
    if (!this.#bindingsByPair.has(pair)) {
      const binding = this.#state.list("binding").find(({ resource }) =>
        matchesSelector(resource.teamSelector, team.labels) &&
        matchesSelector(resource.queueSelector, queue.labels)
      );
      this.#bindingsByPair.set(pair, binding);
    }
    return this.#bindingsByPair.get(pair);
  }

  /**
   * Lists the pools that may run the work of a queue.
   *
   * @param queue - The queue.
   * @returns Pools whose labels match the queue's selector, spare pools last.
   */
  listPools(queue: Queue): readonly StoredResource<Pool>[] {
    const known = this.#poolsByQueue.get(queue.name);
    if (known !== undefined) {
      return known;
    }
    const pools = this.#state.list("pool")
      .filter(({ resource }) =>
        matchesSelector(queue.poolSelector, resource.labels)
      )
      .sort((left, right) =>
        Number(left.resource.spare) - Number(right.resource.spare)
      );
    this.#poolsByQueue.set(queue.name, pools);
    return pools;
  }

  /**
   * Finds a zone that operators have taken out of service, by its label or by a
   * maintenance action.
   *
   * @param name - Name of the zone.
   * @returns The zone, or undefined when it is in service.
   */
  findZoneOut(name: string): StoredResource<Zone> | undefined {
    return this.#zonesOut.get(name)?.zone;
  }

  /**
   * Finds what took a zone out of service.
   *
   * @param name - Name of the zone.
   * @returns The zone with the label or maintenance that took it out, or
   * undefined when it is in service.
   */
  findZoneOutCause(name: string): ZoneOut | undefined {
    return this.#zonesOut.get(name);
  }
}

/** Caches the {@link FleetIndex} of the configuration in force. */
export class FleetIndexCache {
  readonly #getState: () => FleetState;
  #state: FleetState | undefined;
  #version = -1;
  #index: FleetIndex | undefined;

  /**
   * @param getState - Returns the state in force. Restoring a snapshot may
   * replace the object.
   */
  constructor(getState: () => FleetState) {
    this.#getState = getState;
  }

  /**
   * Returns the index of the configuration in force.
   *
   * @returns The cached index, or a new one when the configuration has changed.
   */
  current(): FleetIndex {
    const state = this.#getState();
    const isCurrent = state === this.#state &&
      state.placementVersion === this.#version;
    if (this.#index === undefined || !isCurrent) {
      this.#index = new FleetIndex(state);
      this.#state = state;
      this.#version = state.placementVersion;
    }
    return this.#index;
  }
}

function placeVm(
  state: FleetState,
  vm: StoredResource<Vm>,
  claims: PoolClaims,
): PlacedVm {
  const assignment = state.findAssignment(vm.resource.name);
  if (assignment !== undefined) {
    return {
      vm,
      pool: assignment.pool,
      serving: assignment.phase === "serving",
    };
  }
  const pool = claims.findDesired(vm.resource)?.resource.name;
  return { vm, pool, serving: pool !== undefined };
}
