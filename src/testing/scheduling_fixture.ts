/** Runs the scheduler of successive leaders over one log, with fake runners. */
import { Result } from "true-myth";
import {
  FailureTrustPolicy,
  LeastLossMaintenancePolicy,
  NoForecast,
  RunDelays,
  RunnerPaces,
  type RunnerTrustPolicy,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartConditions,
  StartPlanner,
} from "../decisions/index.ts";
import {
  type AppliedValue,
  type Command,
  createFailure,
  DEFAULT_RUNNER_BOUNDS,
  type Failure,
  FleetState,
  type JobStep,
  type Runner,
  type RunnerBounds,
  type RunnerDeparture,
} from "../domain/index.ts";
import type { Random, RunnerClient } from "../ports/index.ts";
import {
  followLog,
  JobService,
  PoolAccounts,
  PoolLoads,
  RelayedRunnerClient,
  RunnerFleet,
  RunnerRegistry,
  RunnerRelay,
  RunnerTrust,
  Scheduler,
  SchedulingLog,
  StartConfirmer,
  WaveTask,
} from "../services/scheduling/index.ts";
import { Notifier, TaskGroup } from "../tasks/index.ts";
import type { FakeClock } from "./fake_clock.ts";
import { FakeLeaderMetrics, FakeLogger } from "./fake_ports.ts";
import { FakeNetwork } from "./fake_network.ts";
import { FakeRunners } from "./fake_runners.ts";
import { FakeVms } from "./fake_vms.ts";
import { LeaderView } from "./leader_view.ts";
import { PausableClock } from "./pausable_clock.ts";
import { PausableRunnerClient } from "./pausable_runner_client.ts";

const HEARTBEAT_INTERVAL_MS = 1_500;
const RUNNER_MILLICORES = 8_000;
const LEADERSHIP_CHECK_MS = 50;
const STOP_TIMEOUT_MS = 60_000;
const POOL = "bay";

interface Leader {
  readonly view: LeaderView;
  /** Clock of the leader's process; paused while the process is. */
  readonly clock: PausableClock;
  readonly tasks: TaskGroup;
  readonly registry: RunnerRegistry;
  readonly jobs: JobService;
}

/** Options of {@link SchedulingFixture}. */
export interface SchedulingFixtureOptions {
  readonly clock: FakeClock;
  readonly random: Random;
  readonly runnerIds: readonly string[];
  /** CPU that the team may use at once, in millicores; 0 for no limit. */
  readonly limitMillicores?: number;
  /** Most by which the runners' clocks are slow or fast, in percent. */
  readonly maxClockDriftPercent?: number;
  /** Controllers that relay the leader's requests; none by default. */
  readonly relayIds?: readonly string[];
  /** Whether each runner is on a VM of its name, which can get maintenance. */
  readonly hasVms?: boolean;
  /**
   * Plans which task starts on which runner; the standard policies by default.
   */
  readonly planner?: StartPlanner;
  /** Decides which runners are suspect; the standard policy by default. */
  readonly trustPolicy?: RunnerTrustPolicy;
  /** Returns in what a runner differs from the others; in nothing by default. */
  readonly describeRunner?: (
    runnerId: string,
  ) => Partial<Pick<Runner, "pool" | "zone">>;
  /** What the platform guarantees about runners; the usual by default. */
  readonly bounds?: RunnerBounds;
}

/** Options of {@link SchedulingFixture.submit}. */
export interface SubmitOptions {
  /** Key of the team that submits the job. */
  readonly key?: string;
  readonly pathPrefix?: string;
  /** Time for which the call has waited for a leader (ms). */
  readonly waitedMs?: number;
}

/** One pool, one queue and one team; a test changes leaders and runners. */
export class SchedulingFixture {
  readonly clock: FakeClock;
  readonly state = new FleetState();
  readonly applied = new Notifier();
  readonly runners: FakeRunners;
  readonly vms: FakeVms | undefined;
  readonly logger = new FakeLogger();
  readonly metrics = new FakeLeaderMetrics();
  readonly random: Random;
  /** Controllers that relay the leader's requests to runners. */
  readonly relayIds: readonly string[];
  /** Connects the leaders with the relays. */
  readonly network: FakeNetwork;
  appliedIndex = 0;
  maxCommitDelayMs = 0;
  /** Time for which a proposal is forwarded, in milliseconds. */
  forwardMs = 0;
  readonly commits: PausableClock;
  readonly #options: SchedulingFixtureOptions;
  readonly #activeRunners = new Map<string, Runner>();
  readonly #heartbeatStop = new AbortController();
  #incarnationCount = 0;
  #leader: Leader | undefined;
  #term = 0;

  constructor(options: SchedulingFixtureOptions) {
    this.#options = options;
    this.clock = options.clock;
    this.random = options.random;
    this.commits = new PausableClock(options.clock);
    this.runners = new FakeRunners({
      ...options,
      maxLeaseMs: options.bounds?.maxLeaseMs,
      findWork: (task) => this.#findWork(task),
    });
    this.vms = options.hasVms ? this.#createVms(options) : undefined;
    this.relayIds = options.relayIds ?? [];
    this.network = new FakeNetwork(options.clock, options.random);
    this.#startRelays();
    this.#putCatalog();
    options.runnerIds.forEach((id) => this.startRunner(id));
    void this.#sendHeartbeats();
  }

  /** Applies a command to the state, which all leaders share. */
  apply(command: Command): Result<AppliedValue, Failure> {
    this.appliedIndex += 1;
    const applied = this.state.apply(command);
    this.applied.notify();
    return applied;
  }

  /** Proposes a command at the current leader. */
  async forward(command: Command): Promise<Result<AppliedValue, Failure>> {
    if (this.forwardMs > 0) {
      await this.clock.sleep(this.forwardMs);
    }
    const leader = this.#leader;
    return leader === undefined
      ? Result.err(createFailure("notLeader", "there is no leader"))
      : await leader.view.propose(command);
  }

  /**
   * Starts a new leader; the previous one loses its leadership at once, and
   * stops once its process runs.
   */
  changeLeader(): void {
    const previous = this.#leader;
    if (previous !== undefined) {
      previous.view.depose();
      void this.#stopDeposed(previous);
    }
    this.#term += 1;
    this.#leader = this.#startLeader(this.#term);
  }

  /**
   * Sets the wall clock of the current leader ahead.
   *
   * @param stepMs - Time by which it is set ahead (ms).
   */
  setLeaderClockAhead(stepMs: number): void {
    this.#leader?.clock.setAhead(stepMs);
  }

  /**
   * Pauses the process of the current leader.
   *
   * @param durationMs - Duration of the pause (ms).
   */
  pauseLeader(durationMs: number): void {
    const { clock } = this.#leader ?? {};
    if (clock !== undefined && !clock.isPaused) {
      clock.pause();
      void this.clock.sleep(durationMs).then(() => clock.resume());
    }
  }

  /** Starts a new incarnation of a runner. */
  startRunner(runnerId: string): void {
    this.#incarnationCount += 1;
    const runner: Runner = {
      runnerId,
      bornAtMs: this.#incarnationCount,
      address: "127.0.0.1:1",
      pool: POOL,
      zone: "zone-a",
      capacity: {
        cpuMillicores: RUNNER_MILLICORES,
        memoryMb: 1_000,
        gpuCount: 0,
      },
      rack: "r1",
      labels: ["a", "r1"],
      isDraining: false,
      ...this.#options.describeRunner?.(runnerId),
    };
    this.runners.startIncarnation(runner);
    this.#activeRunners.set(runnerId, runner);
  }

  /** Ends a runner without an announcement. */
  crash(runnerId: string): void {
    this.runners.crash(runnerId);
    this.#activeRunners.delete(runnerId);
  }

  /**
   * Makes a runner announce that it is draining.
   *
   * @param runnerId - Id of the runner.
   * @returns Whether the leader accepted the announcement.
   */
  async drain(runnerId: string): Promise<boolean> {
    const runner = this.#activeRunners.get(runnerId);
    if (runner === undefined) {
      return false;
    }
    const draining = { ...runner, isDraining: true };
    this.#activeRunners.set(runnerId, draining);
    return await this.announce(draining);
  }

  /**
   * Announces a runner to the leader.
   *
   * @param runner - The runner; the leader may refuse it.
   * @returns Whether the leader accepted the announcement.
   */
  async announce(runner: Runner): Promise<boolean> {
    const leader = this.#leader;
    await leader?.clock.waitUntilResumed();
    const announced = await leader?.registry.announce(runner);
    return announced?.isOk ?? false;
  }

  /** Hands a runner's notice that it is shutting down to the leader. */
  depart(departure: RunnerDeparture): void {
    this.#leader?.registry.leave(departure);
  }

  /** Tells the leader that a runner is shutting down, and ends the runner. */
  leave(runnerId: string): void {
    const { bornAtMs } = this.#activeRunners.get(runnerId) ?? {};
    this.depart(bornAtMs === undefined ? { runnerId } : { runnerId, bornAtMs });
    this.crash(runnerId);
  }

  /**
   * Submits a job.
   *
   * @param jobId - Id of the job.
   * @param steps - Its steps.
   * @param call - Its queue and team, and how long it has waited.
   * @returns Whether the leader accepted it.
   */
  async submit(
    jobId: string,
    steps: readonly JobStep[],
    { key = "key", pathPrefix = "/q/", waitedMs = 0 }: SubmitOptions = {},
  ): Promise<boolean> {
    const leader = this.#leader;
    await leader?.clock.waitUntilResumed();
    const submitted = await leader?.jobs.answer({
      action: "submit",
      host: "h",
      path: `${pathPrefix}${jobId}`,
      key,
      requestId: jobId,
      waitedMs,
      work: { text: "", steps: [...steps] },
    });
    return submitted?.isOk ?? false;
  }

  /** Stops the heartbeats and all tasks of the leader. */
  async stop(): Promise<void> {
    this.#heartbeatStop.abort();
    const stopped = this.#leader?.tasks.stop() ?? Promise.resolve();
    await this.clock.runUntil(stopped, STOP_TIMEOUT_MS);
  }

  async #stopDeposed({ clock, tasks }: Leader): Promise<void> {
    if (clock.isPaused) {
      await clock.waitUntilResumed();
      await clock.sleep(LEADERSHIP_CHECK_MS);
    }
    await tasks.stop();
  }

  #startLeader(term: number): Leader {
    const { logger, metrics } = this;
    const clock = new PausableClock(this.clock);
    const view = new LeaderView(this, clock, term);
    const tasks = new TaskGroup({ clock, logger });
    const logOptions = { agreement: view, clock, metrics };
    const log = new SchedulingLog({ ...logOptions, term });
    const changed = new Notifier();
    const shared = {
      log,
      clock,
      logger,
      metrics,
      eventLoop: { findLongestDelayMs: () => 0 },
      delays: new RunDelays(),
      paces: new RunnerPaces(),
      changed,
      client: new PausableRunnerClient(
        this.#createClient(term, tasks),
        clock,
      ),
      fencingToken: term,
      findTicket: () => undefined,
      bounds: this.#options.bounds ?? DEFAULT_RUNNER_BOUNDS,
      conditions: new StartConditions({
        isCordoned: (runner) => waves?.isCordoned(runner) ?? false,
        findTicket: () => undefined,
      }),
    };
    const fleet = new RunnerFleet(shared);
    const accounts = new PoolAccounts({
      ...shared,
      fleet,
      mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
      isInMaintenance: (runner) => waves?.isCordoned(runner) ?? false,
      isMoving: () => false,
    });
    const waves: WaveTask | undefined = this.vms && new WaveTask({
      ...shared,
      fleet,
      accounts,
      loads: new PoolLoads({
        ...shared,
        accounts,
        forecast: new NoForecast(),
        awaitsMaintenance: (runner) =>
          waves?.awaitsMaintenance(runner) ?? false,
        isInMaintenance: (runner) => waves?.isCordoned(runner) ?? false,
      }),
      vms: this.vms,
      policy: new LeastLossMaintenancePolicy(),
      holderId: `leader-${term}`,
    });
    const scheduler: Scheduler = new Scheduler({
      ...shared,
      planner: this.#options.planner ?? createPlanner(),
      trust: new RunnerTrust({
        ...shared,
        policy: this.#options.trustPolicy ?? new FailureTrustPolicy(),
      }),
      findStatus: (runner) => fleet.findStatus(runner),
      awaitsMaintenance: (runner) => waves?.awaitsMaintenance(runner) ?? false,
      findApproved: () => undefined,
    });
    tasks.start(
      "feed",
      (signal) => followLog({ agreement: view, changed, clock }, signal),
    );
    tasks.start("fleet", (signal) => fleet.run(signal));
    tasks.start("waves", async (signal) => await waves?.run(signal));
    tasks.start("scheduler", (signal) => scheduler.run(signal));
    const confirmer = new StartConfirmer({ ...shared, fleet });
    tasks.start("confirmations", (signal) => confirmer.run(signal));
    return {
      view,
      clock,
      tasks,
      registry: new RunnerRegistry({ ...shared, fleet }),
      jobs: new JobService({ log: new SchedulingLog(logOptions), logger }),
    };
  }

  #createClient(term: number, tasks: TaskGroup): RunnerClient {
    const { clock, logger, random, relayIds, runners } = this;
    return relayIds.length === 0 ? runners : new RelayedRunnerClient({
      direct: runners,
      network: this.network.join(`leader-${term}`),
      clock,
      logger,
      tasks,
      sessionId: random.nextId(),
      listRelayIds: () => relayIds,
      countRunners: () => this.state.scheduling.runners.size,
      maxDirectRunnerCount: 0,
    });
  }

  #startRelays(): void {
    const { clock, logger } = this;
    for (const relayId of this.relayIds) {
      new RunnerRelay({
        network: this.network.join(relayId),
        client: this.runners,
        clock,
        eventLoop: { findLongestDelayMs: () => 0 },
        logger,
        tasks: new TaskGroup({ clock, logger }),
      });
    }
  }

  async #sendHeartbeats(): Promise<void> {
    const { signal } = this.#heartbeatStop;
    while (!signal.aborted) {
      for (const runner of this.#activeRunners.values()) {
        if (!this.runners.cutIds.has(runner.runnerId)) {
          void this.announce(runner);
        }
      }
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  #createVms({ clock, runnerIds }: SchedulingFixtureOptions): FakeVms {
    return new FakeVms({
      clock,
      names: runnerIds,
      pool: POOL,
      crash: (vm) => this.crash(vm),
      startRunner: (vm) => this.startRunner(vm),
    });
  }

  #findWork(
    task: string,
  ): { readonly workMs: number; readonly millicores: number } {
    const [jobId = "", , step] = task.split(".");
    const job = this.state.scheduling.jobs.find(jobId);
    const spec = job?.spec.steps[Number(step)];
    return {
      workMs: spec?.isEndless ? Infinity : spec?.estimateMs ?? 0,
      millicores: spec?.needs.cpuMillicores ?? 0,
    };
  }

  #putCatalog(): void {
    const limit = {
      cpuMillicores: this.#options.limitMillicores ?? 0,
      memoryMb: 0,
      gpuCount: 0,
    };
    const queue = {
      name: "q",
      host: "h",
      pathPrefix: "/q/",
      pool: POOL,
      isPublic: false,
      priority: 0,
      maxAttempts: 3,
      timeoutMs: 3_000,
      stretch: 1.6,
      targetLatencyMs: 600,
    };
    this.apply({
      type: "scheduling",
      atMs: 0,
      operations: [{
        type: "catalog",
        catalog: {
          version: 1,
          queues: [queue],
          pools: [{ name: POOL, isStandby: false, guardsCapacity: false }],
          teams: [{
            name: "team",
            keys: ["key"],
            priority: 0,
            weight: 1,
            limit,
          }],
          source: "",
        },
      }],
    });
  }
}

function createPlanner(): StartPlanner {
  return new StartPlanner({
    order: new SlackOrderPolicy(),
    placement: new ScoredPlacementPolicy(),
  });
}
