/**
 * Measures memory, processor time and control traffic of each role, and how they
 * grow with teams, pools, workers and changes.
 */
import { SystemClock } from "../adapters/clock/index.ts";
import { StandInBackend } from "../stand_ins/index.ts";
import { runOpenLoop } from "./load.ts";
import type {
  Figures,
  Measurement,
  MeasurementContext,
  Outcome,
} from "./measurement.ts";
import {
  measureRoles,
  type Role,
  ROLES,
  type RoleUsage,
  type Usage,
} from "./role_usage.ts";
import {
  type BenchEnvironment,
  createBenchEnvironment,
  createCall,
} from "./bench_environment.ts";

const WORK_MS = 400;
const BUSY_RATIO = 0.5;
const QUICK_PHASE_MS = 3_500;
const FULL_PHASE_MS = 15_000;
const SETTLE_MS = 700;
const TEAM_COUNT = 6;
const ADDED_WORKER_COUNT = 100;
const ADDED_TEAM_COUNT = 200;
const ADDED_POOL_COUNT = 50;
const CHANGE_INTERVAL_MS = 200;
const MS_PER_SECOND = 1_000;

const USAGE_FIELDS = [
  "rssMb",
  "cpuPercent",
  "controlBytesPerSecond",
] as const satisfies readonly (keyof Usage)[];

/**
 * Measures the footprint of each role, and what each added team, pool, worker or
 * change per second adds to it.
 */
export class FootprintMeasurement implements Measurement {
  readonly name = "footprint";
  readonly summary = "memory, processor time and control traffic of each role";
  readonly targets = [
    { field: "rssMb", bound: "atMost", value: 64 },
    { field: "cpuPercent", bound: "atMost", value: 2 },
    { field: "controlBytesPerSecond", bound: "atMost", value: 8_192 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const environment = await createBenchEnvironment(context, {
      fleet: {
        serviceCount: 4,
        vmsPerPool: 8,
        teams: Array.from({ length: TEAM_COUNT }, (_, index) => ({
          name: `team-${index + 1}`,
          share: 1,
          maxRunningCount: 100,
        })),
      },
      workMs: WORK_MS,
    });
    const phaseMs = context.quick ? QUICK_PHASE_MS : FULL_PHASE_MS;
    const waitIdle = () => new SystemClock().sleep(phaseMs);
    const measurePhase = async (title: string, body: () => Promise<void>) => {
      context.report(`${title}, ${phaseMs} ms`);
      await new SystemClock().sleep(SETTLE_MS);
      return await measureRoles(environment.deployment, body);
    };
    const idle = await measurePhase("idle", waitIdle);
    const changing = await measurePhase(
      "changes",
      () => makeChanges(environment, phaseMs),
    );
    await putResources(environment, ADDED_TEAM_COUNT, createTeam);
    const withTeams = await measurePhase("more teams", waitIdle);
    await putResources(environment, ADDED_POOL_COUNT, createPool);
    const withPools = await measurePhase("more pools", waitIdle);
    await addWorkers(context, environment);
    const withWorkers = await measurePhase("more workers", waitIdle);
    const busy = await measurePhase(
      "busy",
      () => applyLoad(context, environment, phaseMs),
    );
    const changesPerSecond = MS_PER_SECOND / CHANGE_INTERVAL_MS;
    return {
      figures: {
        ...findHighestUsage(idle),
        ...createPhaseFigures("Idle", idle),
        ...createPhaseFigures("Busy", busy),
        ...createSlopeFigures(
          "ByChangePerSecond",
          idle,
          changing,
          changesPerSecond,
        ),
        ...createSlopeFigures("ByTeam", idle, withTeams, ADDED_TEAM_COUNT),
        ...createSlopeFigures("ByPool", withTeams, withPools, ADDED_POOL_COUNT),
        ...createSlopeFigures(
          "ByWorker",
          withPools,
          withWorkers,
          ADDED_WORKER_COUNT,
        ),
      },
      plots: [],
    };
  }
}

async function makeChanges(
  environment: BenchEnvironment,
  phaseMs: number,
): Promise<void> {
  const clock = new SystemClock();
  const untilMs = clock.monotonicMs() + phaseMs;
  for (let changeCount = 0; clock.monotonicMs() < untilMs; changeCount += 1) {
    const startedAtMs = clock.monotonicMs();
    await environment.deployment.operator.put([{
      kind: "zone",
      name: "zone-of-changes",
      region: "region-1",
      labels: { made: String(changeCount) },
    }]);
    const tookMs = clock.monotonicMs() - startedAtMs;
    await clock.sleep(Math.max(0, CHANGE_INTERVAL_MS - tookMs));
  }
}

async function putResources(
  environment: BenchEnvironment,
  count: number,
  create: (index: number) => unknown,
): Promise<void> {
  const resources = Array.from({ length: count }, (_, index) => create(index));
  await environment.deployment.operator.put(resources);
}

function createTeam(index: number): unknown {
  const name = `added-team-${index}`;
  return { kind: "team", name, share: 1, maxRunningCount: 10 };
}

function createPool(index: number): unknown {
  const name = `added-pool-${index}`;
  const labels = { service: name };
  return { kind: "pool", name, labels, vmSelector: { service: [name] } };
}

async function addWorkers(
  context: MeasurementContext,
  environment: BenchEnvironment,
): Promise<void> {
  const { balancer } = environment.deployment;
  await putResources(environment, ADDED_WORKER_COUNT, (index) => ({
    kind: "vm",
    name: `added-vm-${index}`,
    zone: "zone-1",
    rack: "added-rack",
    labels: { service: `added-pool-${index % ADDED_POOL_COUNT}` },
  }));
  const backends = Array.from(
    { length: ADDED_WORKER_COUNT },
    (_, index) =>
      new StandInBackend({
        backendServerId: `added-vm-${index}-runner`,
        vm: `added-vm-${index}`,
        chooseEntryUrl: () => balancer.chooseUrl(),
      }),
  );
  context.cleanup.add(async () => {
    await Promise.all(backends.map((backend) => backend.stop()));
  });
  await Promise.all(backends.map((backend) => backend.start()));
}

async function applyLoad(
  context: MeasurementContext,
  environment: BenchEnvironment,
  durationMs: number,
): Promise<void> {
  await runOpenLoop({
    caller: environment.caller,
    ratePerSecond: BUSY_RATIO * environment.capacityPerSecond,
    durationMs,
    chooseCall: () =>
      createCall(
        environment,
        `team-${context.random.nextInt(TEAM_COUNT) + 1}`,
        context.random.nextInt(environment.plan.queues.length),
      ),
  });
}

// Figures without a role in their name show the role with the highest usage,
// which a mean would hide.
function findHighestUsage(usage: RoleUsage): Figures {
  return Object.fromEntries(USAGE_FIELDS.map((field) => [
    field,
    Math.max(...ROLES.map((role) => usage[role][field])),
  ]));
}

function createPhaseFigures(phase: string, usage: RoleUsage): Figures {
  return createRoleFigures((role, field) => [
    `${role}${phase}${capitalize(field)}`,
    usage[role][field],
  ]);
}

function createSlopeFigures(
  suffix: string,
  before: RoleUsage,
  after: RoleUsage,
  addedCount: number,
): Figures {
  return createRoleFigures((role, field) => [
    `${role}${capitalize(field)}${suffix}`,
    (after[role][field] - before[role][field]) / addedCount,
  ]);
}

function createRoleFigures(
  createFigure: (role: Role, field: keyof Usage) => [string, number],
): Figures {
  return Object.fromEntries(
    ROLES.flatMap((role) =>
      USAGE_FIELDS.map((field) => createFigure(role, field))
    ),
  );
}

function capitalize(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
