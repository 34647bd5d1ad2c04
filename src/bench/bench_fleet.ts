/** Generates the resources of the fleet that measurements run on. */

const ZONE_COUNT = 3;
const VMS_PER_RACK = 4;
const REGION = "region-1";
const SPARE_SERVICE = "workshop";

/** Options of {@link createFleetResources}. */
export interface FleetOptions {
  /** Number of services, without the spare one. Each has a pool and a queue. */
  readonly serviceCount: number;
  /** Number of VMs in each pool, including the spare pool. */
  readonly vmsPerPool: number;
  readonly teams: readonly FleetTeam[];
  /**
   * Whether work of each queue may run in every pool. By default, it may run in
   * the queue's own pool and in the spare pool.
   */
  readonly sharedPools?: boolean;
  readonly maxWaitMs?: number;
  readonly maxRunMs?: number;
}

/** A team of the fleet. */
export interface FleetTeam {
  readonly name: string;
  readonly share: number;
  readonly maxRunningCount: number;
}

/** A VM of the fleet with its zone. */
export interface FleetVm {
  readonly name: string;
  readonly zone: string;
}

/** Generated resources, with the names that load generators use. */
export interface FleetPlan {
  readonly resources: readonly unknown[];
  readonly vms: readonly FleetVm[];
  /** Names of the queues in the order of their services; the spare one is last. */
  readonly queues: readonly string[];
}

/**
 * Creates the resources of a fleet that spans three zones.
 *
 * @param options - Sizes, teams and the time limits of the queues (ms).
 * @returns The resources, and the names of VMs and queues.
 */
export function createFleetResources(options: FleetOptions): FleetPlan {
  const services = Array.from(
    { length: options.serviceCount },
    (_, index) => `studio-${index + 1}`,
  );
  services.push(SPARE_SERVICE);
  const vms = services.flatMap((service) => createVms(service, options));
  const resources = [
    ...createZones(),
    ...vms.map(({ resource }) => resource),
    ...services.map((service) => createPool(service)),
    ...services.map((service) => createQueue(service, options)),
    ...options.teams.map((team) => ({ kind: "team", ...team })),
    { kind: "binding", name: "all", teamSelector: {}, queueSelector: {} },
  ];
  return {
    resources,
    vms: vms.map(({ resource }) => resource),
    queues: services.map((service) => `${service}-work`),
  };
}

function createZones(): unknown[] {
  return Array.from({ length: ZONE_COUNT }, (_, index) => ({
    kind: "zone",
    name: `zone-${index + 1}`,
    region: REGION,
  }));
}

function createVms(service: string, { vmsPerPool }: FleetOptions) {
  return Array.from({ length: vmsPerPool }, (_, index) => ({
    resource: {
      kind: "vm",
      name: `${service}-vm-${index + 1}`,
      zone: `zone-${index % ZONE_COUNT + 1}`,
      rack: `rack-${Math.floor(index / VMS_PER_RACK) + 1}`,
      labels: { service },
    },
  }));
}

function createPool(service: string): unknown {
  return {
    kind: "pool",
    name: service,
    labels: { service },
    vmSelector: { service: [service] },
    spare: service === SPARE_SERVICE,
    budgets: [{ domain: "pool", maxUnavailableVmCount: 1 }],
  };
}

function createQueue(service: string, options: FleetOptions): unknown {
  return {
    kind: "queue",
    name: `${service}-work`,
    labels: { service },
    poolSelector: options.sharedPools
      ? {}
      : { service: [service, SPARE_SERVICE] },
    ...(options.maxWaitMs === undefined
      ? {}
      : { maxWaitMs: options.maxWaitMs }),
    ...(options.maxRunMs === undefined ? {} : { maxRunMs: options.maxRunMs }),
  };
}
