/** Starts a deployment, backend servers and a caller for a measurement. */
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
  /** Relative weights of the entries at the load balancer. */
  readonly weights?: readonly number[];
}

/** A running deployment, with its backend servers, a caller and the API keys. */
export interface BenchEnvironment {
  readonly deployment: Deployment;
  readonly backends: readonly StandInBackend[];
  readonly caller: StandInCaller;
  readonly plan: FleetPlan;
  /** API key of each team, by team name. */
  readonly keys: ReadonlyMap<string, string>;
  readonly slotCount: number;
  /** Number of work items that all slots can complete in a second. */
  readonly capacityPerSecond: number;
}

/**
 * Starts daemons, backend servers and a caller, and applies the fleet's resources.
 *
 * @param context - Numbers of entries and voters, random source and clean-up.
 * @param options - Fleet, duration of work (ms) and weights of the entries.
 * @returns The environment, once every entry places work of every queue.
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
 * @param environment - Environment with the queues and keys.
 * @param team - Name of the team.
 * @param queueIndex - Index of the queue, modulo the number of queues.
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

// Retries one call to each queue through each entry, because announcements take
// time to reach all entries.
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
          throw new Error(`${url} placed no work in time: ${record.reason}`);
        }
        await clock.sleep(PLACEMENT_RETRY_MS);
        record = await caller.send({ ...call, method: "GET" });
      }
    }
  } finally {
    await caller.stop();
  }
}
