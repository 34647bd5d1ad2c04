import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import {
  type CapacityPolicy,
  NoForecast,
  NoTrustPolicy,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartConditions,
  StartPlanner,
} from "../../decisions/index.ts";
import { jobStepSchema, type Runner } from "../../domain/index.ts";
import type {
  VmControl,
  VmFailure,
  VmListing,
  VmRefusal,
} from "../../ports/index.ts";
import { Notifier } from "../../tasks/index.ts";
import { afterEach, describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLeaderMetrics, FakeLogger } from "../../testing/fake_ports.ts";
import { CapacityTask } from "./capacity_task.ts";
import { PoolAccounts } from "./pool_accounts.ts";
import { PoolLoads } from "./pool_loads.ts";
import { RunnerStatus } from "./runner_status.ts";
import { RunnerTrust } from "./runner_trust.ts";
import { Scheduler } from "./scheduler.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { MOVE_DOUBT_MS } from "./timing.ts";

const POOL = "bay";
const OTHER_POOL = "dock";
const THIRD_POOL = "pier";
const VM_MILLICORES = 8_000;
const VM_COUNT = 60;
/** Time of a commit under load (ms), far longer than in a calm moment. */
const SLOW_COMMIT_MS = 300;
const SLOW_ORDER_MS = 50;
const JOB_ID = "0123456789abcdef";

function createRunner(runnerId: string): Runner {
  return {
    runnerId,
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: POOL,
    zone: "zone-a",
    capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
    rack: runnerId,
    labels: [],
    isDraining: false,
  };
}

/** VMs whose orders take time, and may get no answer. */
class SlowVms implements VmControl {
  /** Names of the VMs in the order in which their orders were sent. */
  readonly ordered: string[] = [];
  /** Pools of these orders. */
  readonly orderedPools: string[] = [];
  /** Monotonic times of the orders (ms). */
  readonly orderedAtMs: number[] = [];
  maxOrdersPerSecond = Infinity;
  orderMs = 0;
  losesAnswers = false;
  /** Why orders are refused; undefined while they are carried out. */
  refusal: VmRefusal | undefined;
  readonly #clock: FakeClock;
  readonly #names: readonly string[];
  /** Whether the VMs are off, so that no runner is on them. */
  readonly #isOff: boolean;

  constructor(clock: FakeClock, names: readonly string[], isOff: boolean) {
    this.#clock = clock;
    this.#names = names;
    this.#isOff = isOff;
  }

  list() {
    return Promise.resolve(Result.ok<VmListing, never>({
      vms: this.#names.map((vm) => ({
        vm,
        pool: POOL,
        state: "up",
        zone: "zone-a",
        capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
        labels: [],
        runnerId: this.#isOff ? undefined : vm,
      })),
      isComplete: true,
    }));
  }

  async move(vm: string, pool: string): Promise<Result<void, VmFailure>> {
    this.ordered.push(vm);
    this.orderedPools.push(pool);
    this.orderedAtMs.push(this.#clock.monotonicMs());
    await this.#clock.sleep(this.orderMs);
    if (this.losesAnswers) {
      return Result.err({ message: "no answer" });
    }
    return this.refusal === undefined
      ? Result.ok(undefined)
      : Result.err({ refusal: this.refusal, message: "refused" });
  }

  beginMaintenance(): never {
    throw new Error("not part of this test");
  }
}

/** Moves all idle VMs of the pool, and counts its plans. */
class MoveAllPolicy implements CapacityPolicy {
  isEnabled = false;
  planCount = 0;
  target = OTHER_POOL;

  plan({ idle }: Parameters<CapacityPolicy["plan"]>[0]) {
    if (!this.isEnabled) {
      return [];
    }
    this.planCount += 1;
    return idle.filter(({ pool }) => pool === POOL)
      .map(({ vm, pool }) => ({ vm, from: pool, to: this.target }));
  }
}

// The pattern: a pool's turn is over, so that nearly all of its idle VMs move at
// once, while its last jobs still arrive and the leader is busy.
describe("moves of many idle VMs", () => {
  const stop: AbortController[] = [];

  afterEach(() => stop.splice(0).forEach((controller) => controller.abort()));

  async function setUp({ isStandby = false } = {}) {
    const clock = new FakeClock();
    const agreement = new FakeAgreement(clock);
    const names = Array.from({ length: VM_COUNT }, (_, at) => `vm${at}`);
    const runnerIds = isStandby ? [] : names;
    agreement.state.apply({
      type: "scheduling",
      atMs: 0,
      operations: [
        ...runnerIds.map((name) => ({
          type: "runner" as const,
          runner: createRunner(name),
        })),
        {
          type: "catalog",
          catalog: {
            version: 1,
            queues: [],
            pools: [POOL, OTHER_POOL].map((name) => ({
              name,
              isStandby: isStandby && name === POOL,
              guardsCapacity: false,
            })),
            teams: [],
            source: "",
          },
        },
      ],
    });
    const vms = new SlowVms(clock, names, isStandby);
    const policy = new MoveAllPolicy();
    const status = new RunnerStatus(clock);
    status.isSynced = true;
    const findStatus = () => status;
    const shared = {
      log: new SchedulingLog({ agreement, clock }),
      clock,
      logger: new FakeLogger(),
    };
    const fleet = { findStatus, retire: () => {} };
    const accounts = new PoolAccounts({
      ...shared,
      fleet,
      mayPlaceOn: () => true,
      isInMaintenance: () => false,
      isMoving: () => false,
    });
    const capacity = new CapacityTask({
      ...shared,
      fleet,
      accounts,
      loads: new PoolLoads({
        ...shared,
        accounts,
        forecast: new NoForecast(),
        awaitsMaintenance: () => false,
        isInMaintenance: () => false,
      }),
      vms,
      policy,
      holderId: "leader",
      fencingToken: 1,
      isInMaintenance: () => false,
    });
    const changed = new Notifier();
    const metrics = new FakeLeaderMetrics();
    const scheduler = new Scheduler({
      ...shared,
      trust: new RunnerTrust({
        ...shared,
        metrics,
        policy: new NoTrustPolicy(),
      }),
      planner: new StartPlanner({
        order: new SlackOrderPolicy(),
        placement: new ScoredPlacementPolicy(),
      }),
      metrics,
      changed,
      findStatus,
      findApproved: () => undefined,
      conditions: new StartConditions({
        isCordoned: (runner) => capacity.isCordoned(runner),
        findTicket: () => undefined,
      }),
      awaitsMaintenance: () => false,
    });
    const controller = new AbortController();
    stop.push(controller);
    void capacity.run(controller.signal);
    void scheduler.run(controller.signal);
    await clock.advance(1_000);
    const submit = (taskCount: number) => {
      agreement.state.apply({
        type: "scheduling",
        atMs: clock.nowMs(),
        operations: [{
          type: "accept",
          spec: {
            jobId: JOB_ID,
            text: "",
            steps: [v.parse(jobStepSchema, {
              taskCount,
              needs: { cpuMillicores: VM_MILLICORES },
            })],
          },
          queue: "q",
          pool: POOL,
          team: undefined,
          maxAttempts: 2,
        }],
      });
      changed.notify();
    };
    /** Names of the VMs on which the log has placed tasks. */
    const listBusyVms = () =>
      agreement.commands.flatMap((command) =>
        command.type === "scheduling"
          ? command.operations.flatMap((operation) =>
            operation.type === "start" ? [operation.runnerId] : []
          )
          : []
      );
    return { agreement, clock, listBusyVms, policy, submit, vms };
  }

  // Guards against work that a move ends: the plan that placed it was proposed
  // before the VM was cordoned, and committed after the VM had been found idle.
  it("do not end work that a plan in flight places", async () => {
    const { agreement, clock, listBusyVms, policy, submit, vms } =
      await setUp();
    agreement.proposeMs = SLOW_COMMIT_MS;
    submit(VM_COUNT / 2);
    await clock.advance(1);
    policy.isEnabled = true;
    await clock.advance(5_000);
    const busyVms = listBusyVms();
    assert.is(busyVms.length, VM_COUNT / 2);
    assert.is(vms.ordered.length, VM_COUNT / 2, "the others move");
    assert.equal(vms.ordered.filter((vm) => busyVms.includes(vm)), []);
  });

  // Guards against orders about VMs on which the next leader may have placed
  // work: the lease was checked once, and the orders left over seconds.
  it("end soon after the leader has lost its lease", async () => {
    const { agreement, clock, policy, vms } = await setUp();
    vms.orderMs = SLOW_ORDER_MS;
    policy.isEnabled = true;
    while (vms.ordered.length === 0) {
      await clock.advance(1);
    }
    agreement.holdsLease = false;
    const sentCount = vms.ordered.length;
    assert.ok(sentCount < VM_COUNT, "orders are left");
    await clock.advance(5_000);
    assert.is(vms.ordered.length, sentCount);
  });

  // Guards against a plan that is carried out although the demand has changed.
  it("are planned anew while many orders are left", async () => {
    const { clock, policy, vms } = await setUp();
    vms.orderMs = SLOW_ORDER_MS;
    policy.isEnabled = true;
    while (vms.ordered.length < VM_COUNT) {
      await clock.advance(1);
    }
    assert.ok(policy.planCount > 1, `${policy.planCount} plans`);
  });

  // Guards against orders that the platform refuses because there are too many,
  // those of a wave among them.
  it("leave room within the rate that the platform accepts", async () => {
    const { clock, policy, vms } = await setUp();
    vms.maxOrdersPerSecond = 30;
    policy.isEnabled = true;
    while (vms.ordered.length < VM_COUNT) {
      await clock.advance(1);
    }
    const highest = Math.max(
      ...vms.orderedAtMs.map((fromMs) =>
        vms.orderedAtMs.filter((atMs) =>
          atMs >= fromMs && atMs < fromMs + 1_000
        )
          .length
      ),
    );
    assert.ok(highest <= vms.maxOrdersPerSecond, `${highest} in a second`);
  });

  // Guards against work on a VM whose move is carried out after the order got no
  // answer.
  it("keep VMs free of work whose orders got no answer", async () => {
    const { clock, listBusyVms, policy, submit, vms } = await setUp();
    vms.losesAnswers = true;
    policy.isEnabled = true;
    while (vms.ordered.length === 0) {
      await clock.advance(1);
    }
    policy.isEnabled = false;
    await clock.advance(100);
    submit(VM_COUNT);
    await clock.advance(500);
    const busyVms = listBusyVms();
    assert.ok(busyVms.length > 0, "other VMs get work");
    assert.equal(busyVms.filter((vm) => vms.ordered.includes(vm)), []);
  });

  describe("whose first orders got no answer", () => {
    const setUpUnanswered = async (options = {}) => {
      const fixture = await setUp(options);
      const { clock, policy, vms } = fixture;
      vms.losesAnswers = true;
      policy.isEnabled = true;
      while (vms.ordered.length === 0) {
        await clock.advance(1);
      }
      await clock.advance(10);
      vms.losesAnswers = false;
      return { ...fixture, unanswered: new Set(vms.ordered) };
    };

    // Guards against work on a VM whose move is carried out late: the refusal of
    // a repeated order said nothing about the first one.
    it("keep their VMs free of work after a refused repeat", async () => {
      const { clock, listBusyVms, policy, submit, unanswered, vms } =
        await setUpUnanswered();
      vms.refusal = "rate";
      while (vms.ordered.length === unanswered.size) {
        await clock.advance(1);
      }
      policy.isEnabled = false;
      await clock.advance(100);
      submit(VM_COUNT);
      await clock.advance(500);
      const busyVms = listBusyVms();
      assert.ok(busyVms.length > 0, "other VMs get work");
      assert.equal(busyVms.filter((vm) => unanswered.has(vm)), []);
    });

    // Guards against the same where no repeat was sent.
    it("keep their VMs free of work after a failed proposal", async () => {
      const { agreement, clock, listBusyVms, policy, submit, unanswered } =
        await setUpUnanswered();
      agreement.fault = "lost";
      const { planCount } = policy;
      while (policy.planCount === planCount) {
        await clock.advance(1);
      }
      policy.isEnabled = false;
      await clock.advance(100);
      agreement.fault = "none";
      submit(VM_COUNT);
      await clock.advance(500);
      const busyVms = listBusyVms();
      assert.ok(busyVms.length > 0, "other VMs get work");
      assert.equal(busyVms.filter((vm) => unanswered.has(vm)), []);
    });

    for (const isStandby of [false, true]) {
      const which = isStandby ? "standby" : "running";

      // Guards against work that ends on a VM which has come to the pool of a
      // second order: the first one was carried out late and took it away.
      it(`do not go to another pool meanwhile, of ${which} VMs`, async () => {
        const { clock, policy, unanswered, vms } = await setUpUnanswered({
          isStandby,
        });
        policy.target = THIRD_POOL;
        await clock.advance(MOVE_DOUBT_MS - 200);
        const redirected = vms.ordered.filter((vm, at) =>
          unanswered.has(vm) && vms.orderedPools[at] === THIRD_POOL
        );
        assert.equal(redirected, []);
        assert.ok(vms.orderedPools.includes(THIRD_POOL), "other VMs go there");
        await clock.advance(2 * MOVE_DOUBT_MS);
        const last = vms.ordered.flatMap((vm, at) =>
          vms.orderedPools[at] === THIRD_POOL ? [vm] : []
        );
        assert.is(new Set(last).size, VM_COUNT, "later all of them do");
      });

      it(`are repeated for the same pool, of ${which} VMs`, async () => {
        const { clock, unanswered, vms } = await setUpUnanswered({ isStandby });
        await clock.advance(MOVE_DOUBT_MS - 200);
        const repeated = vms.ordered.slice(unanswered.size).filter((vm) =>
          unanswered.has(vm)
        );
        assert.is(new Set(repeated).size, unanswered.size);
      });
    }
  });
});
