/** Describes the current state of a subject and the labels that cause it. */
import {
  type BudgetPolicy,
  createCause,
  createZoneOutCause,
  describeClash,
  describeUse,
  findWantedPool,
  FleetIndex,
  FleetView,
  forecastMaintenance,
  type VmView,
  type WavePolicy,
} from "../../decisions/index.ts";
import {
  type DecisionCause,
  type StoredResource,
  type Zone,
  ZONE_SERVICE_LABEL,
} from "../../domain/index.ts";
import type { Agreement, Clock, PlatformVm } from "../../ports/index.ts";

/** Options of {@link StateDescriber}. */
export interface StateDescriberOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly budgets: BudgetPolicy;
  readonly waves: WavePolicy;
  /**
   * Returns the VMs in the latest report of the platform; undefined on entries
   * that do not poll it.
   */
  readonly findPlatformVms: () => readonly PlatformVm[] | undefined;
}

/** Current state of a subject, as lines of text, with its causes. */
export interface CurrentState {
  readonly lines: readonly string[];
  readonly causes: readonly DecisionCause[];
}

/** Describes the state of VMs, pools, zones, teams, queues and actions. */
export class StateDescriber {
  readonly #options: StateDescriberOptions;

  constructor(options: StateDescriberOptions) {
    this.#options = options;
  }

  /**
   * Describes the current state of a subject.
   *
   * @param kind - Kind of the subject, such as `vm` or `pool`.
   * @param name - Name of the subject.
   * @returns Its state, or undefined when there is no such subject.
   */
  describe(kind: string, name: string): CurrentState | undefined {
    const { state } = this.#options.agreement;
    const view = new FleetView(state, this.#options.findPlatformVms());
    switch (kind) {
      case "vm":
        return describeVm(view, name);
      case "pool":
        return this.#describePool(view, name);
      case "zone":
        return describeZone(view, name);
      case "team":
        return describeTeam(new FleetIndex(state), view, name);
      case "queue":
        return describeQueue(new FleetIndex(state), view, name);
      case "action":
        return describeAction(view, name);
      default:
        return undefined;
    }
  }

  #describePool(view: FleetView, name: string): CurrentState | undefined {
    const pool = view.findPool(name);
    if (pool === undefined) {
      return undefined;
    }
    const { budgets, clock } = this.#options;
    const nowMs = clock.nowMs();
    const forecast = forecastMaintenance(view, name, nowMs, this.#options);
    const done = forecast.doneAtMs === undefined
      ? `maintenance cannot end: ${forecast.preventedBy}`
      : `maintenance of all is done by ${formatTime(forecast.doneAtMs)}${
        forecast.isInTime ? "" : ", later than two weeks after the last one"
      }`;
    const uses = budgets.listUses(view, name);
    const loans = view.listPool(name)
      .filter(({ assignment }) => assignment?.loanedFrom !== undefined)
      .map((vm) =>
        `vm/${vm.name} is lent by spare pool/${vm.assignment?.loanedFrom}`
      );
    return {
      lines: [
        `pool/${name} has ${forecast.vmCount} VMs, ${forecast.dueVmCount} due for maintenance`,
        ...uses.map((use) => `budget of ${describeUse(use)}`),
        ...loans,
        done,
      ],
      causes: [
        createCause(
          pool,
          "vmSelector",
          JSON.stringify(pool.resource.vmSelector),
        ),
        createCause(pool, "budgets", JSON.stringify(pool.resource.budgets)),
      ],
    };
  }
}

function describeVm(view: FleetView, name: string): CurrentState | undefined {
  const vm = view.find(name);
  if (vm === undefined) {
    return undefined;
  }
  const wanted = findWantedPool(view, vm);
  const zoneOut = view.zonesOut.get(vm.vm.resource.zone);
  const lines = [
    `vm/${name} is ${describePhase(vm)}`,
    ...(wanted.claiming.length === 1 ? [] : [describeClash({ vm, wanted })]),
    ...(wanted.pool === vm.pool ? [] : [`it should be in pool/${wanted.pool}`]),
    ...describeOutage(vm),
  ];
  const zoneCauses = zoneOut === undefined
    ? []
    : describeZone(view, vm.vm.resource.zone)?.causes ?? [];
  return { lines, causes: [...wanted.causes, ...zoneCauses] };
}

function describePhase({ assignment, pool }: VmView): string {
  if (assignment === undefined) {
    return pool === undefined
      ? "in no pool"
      : `in pool/${pool} by its labels alone`;
  }
  const since = formatTime(assignment.startedAtMs);
  const target = assignment.targetPool === undefined
    ? ""
    : ` on its way to pool/${assignment.targetPool}`;
  return `${assignment.phase} in pool/${pool}${target} since ${since}, for action/${assignment.actionId}`;
}

function describeOutage({ outage, vm, platform }: VmView): string[] {
  switch (outage) {
    case "missing":
      return ["the platform does not list it; it counts as unavailable"];
    case "down":
      return [`the platform says ${platform?.state}; it counts as unavailable`];
    case "zoneOut":
      return [`its zone/${vm.resource.zone} is out of service`];
    default:
      return [];
  }
}

function describeZone(view: FleetView, name: string): CurrentState | undefined {
  const zone: StoredResource<Zone> | undefined = view.state.find("zone", name);
  if (zone === undefined) {
    return undefined;
  }
  const out = view.zonesOut.get(name);
  const vmCount = view.list()
    .filter(({ vm }) => vm.resource.zone === name).length;
  const label = zone.resource.labels[ZONE_SERVICE_LABEL] ?? "none";
  if (out === undefined) {
    return {
      lines: [`zone/${name} is in service with ${vmCount} VMs`],
      causes: [createCause(zone, `labels.${ZONE_SERVICE_LABEL}`, label)],
    };
  }
  const { cause } = out;
  const since = formatTime(cause.setAtMs);
  const by = `${cause.resource.kind}/${cause.resource.name}`;
  return {
    lines: [
      `zone/${name} is out of service since ${since} by ${by}; its ${vmCount} VMs take no work`,
    ],
    causes: [createZoneOutCause(out)],
  };
}

function describeTeam(
  index: FleetIndex,
  view: FleetView,
  name: string,
): CurrentState | undefined {
  const team = index.findTeam(name);
  if (team === undefined) {
    return undefined;
  }
  const { share, maxRunningCount } = team.resource;
  const bindings = view.state.list("queue")
    .map(({ resource }) => ({
      queue: resource.name,
      binding: index.findBinding(team.resource, resource),
    }))
    .filter(({ binding }) => binding !== undefined);
  return {
    lines: [
      `team/${name} has share ${share} and an upper limit of ${maxRunningCount} running`,
      ...bindings.map(({ queue, binding }) =>
        `it may use queue/${queue} by binding/${binding?.resource.name}`
      ),
    ],
    causes: [
      createCause(team, "labels", JSON.stringify(team.resource.labels)),
      createCause(team, "maxRunningCount", String(maxRunningCount)),
    ],
  };
}

function describeQueue(
  index: FleetIndex,
  view: FleetView,
  name: string,
): CurrentState | undefined {
  const queue = index.findQueue(name);
  if (queue === undefined) {
    return undefined;
  }
  const teams = view.state.list("team").filter(({ resource }) =>
    index.findBinding(resource, queue.resource) !== undefined
  ).map(({ resource }) => `team/${resource.name}`);
  const pools = index.listPools(queue.resource).map(({ resource }) =>
    `pool/${resource.name} with ${view.listPool(resource.name).length} VMs`
  );
  const users = queue.resource.openToAll
    ? "is open to all"
    : `may be used by ${teams.join(", ") || "no team"}`;
  return {
    lines: [
      `queue/${name} ${users}`,
      `it reaches ${pools.join(", ") || "no pool"}`,
    ],
    causes: [
      createCause(
        queue,
        "poolSelector",
        JSON.stringify(queue.resource.poolSelector),
      ),
      createCause(queue, "openToAll", String(queue.resource.openToAll)),
    ],
  };
}

function describeAction(
  view: FleetView,
  name: string,
): CurrentState | undefined {
  const vms = view.list().filter(({ assignment }) =>
    assignment?.actionId === name
  );
  return vms.length === 0 ? undefined : {
    lines: vms.map((vm) => `vm/${vm.name} is ${describePhase(vm)}`),
    causes: [],
  };
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
