/** Joins the declared VMs with their assignments and observed states. */
import type {
  FleetState,
  Pool,
  StoredResource,
  Vm,
  VmAssignment,
} from "../../domain/index.ts";
import type { PlatformVm } from "../../ports/index.ts";
import { PoolClaims } from "./pool_claims.ts";
import { listZonesOut, type ZoneOut } from "./zones_out.ts";

/**
 * Why a VM is unavailable: `busy` in a move or maintenance, `missing` from the
 * platform's list, `down` on the platform, or `zoneOut` for its zone.
 */
export type Outage = "busy" | "missing" | "down" | "zoneOut";

/** One VM with its declaration, assignment and observed state. */
export interface VmView {
  readonly vm: StoredResource<Vm>;
  readonly name: string;
  /**
   * Pool of the VM; undefined when it has none and no single pool claims it.
   */
  readonly pool: string | undefined;
  readonly assignment: VmAssignment | undefined;
  readonly platform: PlatformVm | undefined;
  /** Why the VM is unavailable; undefined when it is available. */
  readonly outage: Outage | undefined;
}

/** View of the fleet at one moment. */
export class FleetView {
  readonly state: FleetState;
  /** Configuration revision that the view was built on. */
  readonly revision: number;
  readonly claims: PoolClaims;
  readonly zonesOut: ReadonlyMap<string, ZoneOut>;
  readonly #platform: ReadonlyMap<string, PlatformVm> | undefined;
  readonly #vms = new Map<string, VmView>();
  readonly #byPool = new Map<string, Set<string>>();

  /**
   * @param state - Declared resources and assignments.
   * @param platformVms - VMs that the platform reported. Without them, every VM
   * counts as up.
   */
  constructor(state: FleetState, platformVms?: readonly PlatformVm[]) {
    this.state = state;
    this.revision = state.revision;
    this.claims = new PoolClaims(state.list("pool"));
    this.zonesOut = listZonesOut(state);
    this.#platform = platformVms &&
      new Map(platformVms.map((vm) => [vm.vm, vm]));
    for (const vm of state.list("vm")) {
      this.#put(this.#createView(vm));
    }
  }

  /** Lists all declared VMs. */
  list(): VmView[] {
    return [...this.#vms.values()];
  }

  /** Lists the VMs of a pool. */
  listPool(pool: string): VmView[] {
    const names = this.#byPool.get(pool) ?? [];
    return [...names].map((name) => this.#vms.get(name))
      .filter((vm) => vm !== undefined);
  }

  /** Finds a VM by name. */
  find(name: string): VmView | undefined {
    return this.#vms.get(name);
  }

  /** Finds a pool by name. */
  findPool(name: string): StoredResource<Pool> | undefined {
    return this.state.find("pool", name);
  }

  /**
   * Updates the view of one VM after its assignment has changed in the state.
   *
   * @param name - Name of the VM.
   */
  refresh(name: string): void {
    const known = this.#vms.get(name);
    if (known !== undefined) {
      this.#byPool.get(known.pool ?? "")?.delete(name);
      this.#put(this.#createView(known.vm));
    }
  }

  #put(view: VmView): void {
    this.#vms.set(view.name, view);
    const pool = view.pool ?? "";
    const names = this.#byPool.get(pool) ?? new Set();
    names.add(view.name);
    this.#byPool.set(pool, names);
  }

  #createView(vm: StoredResource<Vm>): VmView {
    const { name } = vm.resource;
    const assignment = this.state.findAssignment(name);
    const platform = this.#platform?.get(name);
    const desired = this.claims.findDesired(vm.resource)?.resource.name;
    return {
      vm,
      name,
      pool: assignment?.pool ?? desired,
      assignment,
      platform,
      outage: this.#findOutage(vm.resource, assignment, platform),
    };
  }

  #findOutage(
    vm: Vm,
    assignment: VmAssignment | undefined,
    platform: PlatformVm | undefined,
  ): Outage | undefined {
    if (assignment !== undefined && assignment.phase !== "serving") {
      return "busy";
    }
    if (this.#platform !== undefined && platform === undefined) {
      return "missing";
    }
    if (platform !== undefined && platform.state !== "up") {
      return "down";
    }
    return this.zonesOut.has(vm.zone) ? "zoneOut" : undefined;
  }
}
