/** Memory, processor time and control traffic of each role, and their slopes. */
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
import { createCall, createWorkbench, type Workbench } from "./workbench.ts";

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

/** Footprint of each role at today's size, and what one more thing adds. */
export class FootprintMeasurement implements Measurement {
  readonly name = "footprint";
  readonly summary = "memory, processor time and control traffic of each role";
  readonly targets = [
    { field: "rssMb", bound: "atMost", value: 64 },
    { field: "cpuPercent", bound: "atMost", value: 2 },
    { field: "controlBytesPerSecond", bound: "atMost", value: 8_192 },
  ] as const;

  async run(context: MeasurementContext): Promise<Outcome> {
    const bench = await createWorkbench(context, {
      fleet: {
        serviceCount: 4,
        vmsPerPool: 8,
        teams: Array.from({ length: TEAM_COUNT }, (_, at) => ({
          name: `team-${at + 1}`,
          share: 1,
          maxRunningCount: 100,
        })),
      },
      workMs: WORK_MS,
    });
    const phaseMs = context.quick ? QUICK_PHASE_MS : FULL_PHASE_MS;
    const rest = () => new SystemClock().sleep(phaseMs);
    const phase = async (title: string, body: () => Promise<void>) => {
      context.report(`${title}, ${phaseMs} ms`);
      await new SystemClock().sleep(SETTLE_MS);
      return await measureRoles(bench.deployment, body);
    };
    const idle = await phase("idle", rest);
    const changing = await phase(
      "changes",
      () => makeChanges(bench, phaseMs),
    );
    await putMany(bench, ADDED_TEAM_COUNT, createTeam);
    const withTeams = await phase("more teams", rest);
    await putMany(bench, ADDED_POOL_COUNT, createPool);
    const withPools = await phase("more pools", rest);
    await addWorkers(context, bench);
    const withWorkers = await phase("more workers", rest);
    const busy = await phase("busy", () => load(context, bench, phaseMs));
    const changesPerSecond = MS_PER_SECOND / CHANGE_INTERVAL_MS;
    return {
      figures: {
        ...findWorst(idle),
        ...describePhase("Idle", idle),
        ...describePhase("Busy", busy),
        ...describeSlope("ByChangePerSecond", idle, changing, changesPerSecond),
        ...describeSlope("ByTeam", idle, withTeams, ADDED_TEAM_COUNT),
        ...describeSlope("ByPool", withTeams, withPools, ADDED_POOL_COUNT),
        ...describeSlope(
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

async function makeChanges(bench: Workbench, phaseMs: number): Promise<void> {
  const clock = new SystemClock();
  const untilMs = clock.monotonicMs() + phaseMs;
  for (let made = 0; clock.monotonicMs() < untilMs; made += 1) {
    const startedAtMs = clock.monotonicMs();
    await bench.deployment.operator.put([{
      kind: "zone",
      name: "zone-of-changes",
      region: "region-1",
      labels: { made: String(made) },
    }]);
    const tookMs = clock.monotonicMs() - startedAtMs;
    await clock.sleep(Math.max(0, CHANGE_INTERVAL_MS - tookMs));
  }
}

async function putMany(
  bench: Workbench,
  count: number,
  create: (at: number) => unknown,
): Promise<void> {
  const resources = Array.from({ length: count }, (_, at) => create(at));
  await bench.deployment.operator.put(resources);
}

function createTeam(at: number): unknown {
  const name = `added-team-${at}`;
  return { kind: "team", name, share: 1, maxRunningCount: 10 };
}

function createPool(at: number): unknown {
  const name = `added-pool-${at}`;
  const labels = { service: name };
  return { kind: "pool", name, labels, vmSelector: { service: [name] } };
}

async function addWorkers(
  context: MeasurementContext,
  bench: Workbench,
): Promise<void> {
  const { balancer } = bench.deployment;
  await putMany(bench, ADDED_WORKER_COUNT, (at) => ({
    kind: "vm",
    name: `added-vm-${at}`,
    zone: "zone-1",
    rack: "added-rack",
    labels: { service: `added-pool-${at % ADDED_POOL_COUNT}` },
  }));
  const backends = Array.from(
    { length: ADDED_WORKER_COUNT },
    (_, at) =>
      new StandInBackend({
        backendServerId: `added-vm-${at}-runner`,
        vm: `added-vm-${at}`,
        chooseEntryUrl: () => balancer.chooseUrl(),
      }),
  );
  context.cleanup.add(async () => {
    await Promise.all(backends.map((backend) => backend.stop()));
  });
  await Promise.all(backends.map((backend) => backend.start()));
}

async function load(
  context: MeasurementContext,
  bench: Workbench,
  durationMs: number,
): Promise<void> {
  await runOpenLoop({
    caller: bench.caller,
    ratePerSecond: BUSY_RATIO * bench.capacityPerSecond,
    durationMs,
    chooseCall: () =>
      createCall(
        bench,
        `team-${context.random.nextInt(TEAM_COUNT) + 1}`,
        context.random.nextInt(bench.plan.queues.length),
      ),
  });
}

// The bare fields carry the role that uses most, so that none hides behind a mean.
function findWorst(usage: RoleUsage): Figures {
  return Object.fromEntries(USAGE_FIELDS.map((field) => [
    field,
    Math.max(...ROLES.map((role) => usage[role][field])),
  ]));
}

function describePhase(phase: string, usage: RoleUsage): Figures {
  return describeRoles((role, field) => [
    `${role}${phase}${capitalise(field)}`,
    usage[role][field],
  ]);
}

function describeSlope(
  suffix: string,
  before: RoleUsage,
  after: RoleUsage,
  addedCount: number,
): Figures {
  return describeRoles((role, field) => [
    `${role}${capitalise(field)}${suffix}`,
    (after[role][field] - before[role][field]) / addedCount,
  ]);
}

function describeRoles(
  describe: (role: Role, field: keyof Usage) => [string, number],
): Figures {
  return Object.fromEntries(
    ROLES.flatMap((role) => USAGE_FIELDS.map((field) => describe(role, field))),
  );
}

function capitalise(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
