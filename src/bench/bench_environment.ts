/** A deployment with backend servers and callers, ready to be measured. */
import { SystemClock } from "../adapters/clock/index.ts";
import {
  type Call,
  type Deployment,
  StandInBackend,
  StandInCaller,
  startDeployment,
} from "../stand_ins/index.ts";
import {
  createFleetResources,
  type FleetOptions,
  type FleetPlan,
} from "./bench_fleet.ts";
import type { MeasurementContext } from "./measurement.ts";

const SLOTS_PER_BACKEND = 8;
const PLACEMENT_DEADLINE_MS = 20_000;
const PLACEMENT_RETRY_MS = 100;
const READY_WAIT_MS = 20_000;
const MS_PER_SECOND = 1_000;

/** Options of {@link createBenchEnvironment}. */
export interface BenchEnvironmentOptions {
  readonly fleet: FleetOptions;
  /** How long each piece of work takes, in milliseconds. */
  readonly workMs: number;
  /** Relative weights of the entries at the balancer. */
  readonly weights?: readonly number[];
}

/** Everything that a measurement with real daemons needs. */
export interface BenchEnvironment {
  readonly deployment: Deployment;
  readonly backends: readonly StandInBackend[];
  readonly caller: StandInCaller;
  readonly plan: FleetPlan;
  /** Key of each team, by the team's name. */
  readonly keys: ReadonlyMap<string, string>;
  readonly slotCount: number;
  /** Pieces of work that all slots can end in a second. */
  readonly capacityPerSecond: number;
}

/**
 * Starts daemons, backend servers and callers, and applies a fleet.
 *
 * @param context - Counts, randomness and clean-up.
 * @param options - Fleet, duration of work (ms) and weights of the entries.
 * @returns The workbench, once every entry can place work.
 */
export async function createBenchEnvironment(
  context: MeasurementContext,
  options: BenchEnvironmentOptions,
): Promise<BenchEnvironment> {
  const { cleanup, random, entryCount, voterCount } = context;
  context.report(`starting ${entryCount} entries, ${voterCount} voters`);
  const deployment = await startDeployment({
    entryCount,
    voterCount,
    random,
    ...(options.weights === undefined ? {} : { weights: options.weights }),
  });
  cleanup.add(() => deployment.stop());
  const plan = createFleetResources(options.fleet);
  await deployment.operator.put(plan.resources);
  const keys = await createKeys(deployment, options.fleet);
  const backends = await startBackends(context, deployment, plan, options);
  const caller = new StandInCaller({
    callerId: "call",
    chooseEntryUrl: () => deployment.balancer.chooseUrl(),
  });
  cleanup.add(() => caller.stop());
  const slotCount = backends.length * SLOTS_PER_BACKEND;
  const environment: BenchEnvironment = {
    deployment,
    backends,
    caller,
    plan,
    keys,
    slotCount,
    capacityPerSecond: slotCount * MS_PER_SECOND / options.workMs,
  };
  await deployment.balancer.waitForReady(READY_WAIT_MS);
  await waitUntilWorkIsPlaced(context, environment);
  return environment;
}

/**
 * Creates a call of a team to a queue.
 *
 * @param environment - The workbench.
 * @param team - Name of the team.
 * @param queueIndex - Position of the queue.
 * @returns The call with the team's key.
 */
export function createCall(
  environment: BenchEnvironment,
  team: string,
  queueIndex: number,
): Call {
  const { queues } = environment.plan;
  return {
    team,
    queue: queues[queueIndex % queues.length] ?? "",
    key: environment.keys.get(team),
  };
}

async function createKeys(
  deployment: Deployment,
  { teams }: FleetOptions,
): Promise<Map<string, string>> {
  const keys = new Map<string, string>();
  for (const { name } of teams) {
    keys.set(name, await deployment.operator.createKey(`${name}-key`, name));
  }
  return keys;
}

async function startBackends(
  context: MeasurementContext,
  deployment: Deployment,
  plan: FleetPlan,
  { workMs }: BenchEnvironmentOptions,
): Promise<StandInBackend[]> {
  const backends = plan.vms.map(({ name }) =>
    new StandInBackend({
      backendServerId: `${name}-runner`,
      vm: name,
      chooseEntryUrl: () => deployment.balancer.chooseUrl(),
      slotCount: SLOTS_PER_BACKEND,
      workMs,
    })
  );
  context.cleanup.add(async () => {
    await Promise.all(backends.map((backend) => backend.stop()));
  });
  await Promise.all(backends.map((backend) => backend.start()));
  context.report(`${backends.length} backend servers announce themselves`);
  return backends;
}

// One call for each queue through each entry; announcements need a moment.
async function waitUntilWorkIsPlaced(
  context: MeasurementContext,
  environment: BenchEnvironment,
): Promise<void> {
  const team = [...environment.keys.keys()][0] ?? "";
  const urls = environment.deployment.entries.map(({ plan }) => plan.url);
  const startedAtMs = new SystemClock().monotonicMs();
  await Promise.all(
    urls.map((url) => placeThroughEntry(environment, team, url)),
  );
  const tookMs = Math.round(new SystemClock().monotonicMs() - startedAtMs);
  context.report(`every entry places work, after ${tookMs} ms`);
}

async function placeThroughEntry(
  environment: BenchEnvironment,
  team: string,
  url: string,
): Promise<void> {
  const clock = new SystemClock();
  const caller = new StandInCaller({
    callerId: `first-${new URL(url).port}`,
    chooseEntryUrl: () => url,
  });
  const deadlineMs = clock.monotonicMs() + PLACEMENT_DEADLINE_MS;
  try {
    for (
      let queueIndex = 0;
      queueIndex < environment.plan.queues.length;
      queueIndex += 1
    ) {
      const call = createCall(environment, team, queueIndex);
      let record = await caller.send({ ...call, method: "GET" });
      while (record.outcome !== "succeeded") {
        if (clock.monotonicMs() > deadlineMs) {
          throw new Error(`${url} places no work: ${record.why}`);
        }
        await clock.sleep(PLACEMENT_RETRY_MS);
        record = await caller.send({ ...call, method: "GET" });
      }
    }
  } finally {
    await caller.stop();
  }
}
