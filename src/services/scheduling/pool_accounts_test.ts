import * as assert from "uvu/assert";
import { DEFAULT_RUNNER_BOUNDS, type Runner } from "../../domain/index.ts";
import type { ListedVm } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { PoolAccounts } from "./pool_accounts.ts";
import { RunnerStatus } from "./runner_status.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { MAX_SILENCE_INTERVALS, MOVE_MS } from "./timing.ts";

const VM_MILLICORES = 64_000;
const SILENCE_MS = MAX_SILENCE_INTERVALS *
  DEFAULT_RUNNER_BOUNDS.announceIntervalMs;
const POOL_NAMES = ["bay", "dock", "reserve"];

function createRunner(
  runnerId: string,
  changes: Partial<Runner> = {},
): Runner {
  return {
    runnerId,
    bornAtMs: 1,
    address: "127.0.0.1:1",
    pool: "bay",
    zone: "zone-a",
    capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
    rack: runnerId,
    labels: [],
    isDraining: false,
    ...changes,
  };
}

function createListed(vm: string, changes: Partial<ListedVm> = {}): ListedVm {
  return {
    vm,
    pool: "bay",
    state: "up",
    zone: "zone-a",
    capacity: { cpuMillicores: VM_MILLICORES, memoryMb: 100, gpuCount: 0 },
    labels: [],
    runnerId: undefined,
    ...changes,
  };
}

function setUp(runners: readonly Runner[]) {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  agreement.state.apply({
    type: "scheduling",
    atMs: 0,
    operations: [
      ...runners.map((runner) => ({ type: "runner" as const, runner })),
      {
        type: "catalog",
        catalog: {
          version: 1,
          queues: [],
          pools: POOL_NAMES.map((name) => ({
            name,
            isStandby: name === "reserve",
            guardsCapacity: false,
          })),
          teams: [],
          source: "",
        },
      },
    ],
  });
  const statuses = new Map(
    runners.map(({ runnerId }) => {
      const status = new RunnerStatus(clock);
      status.isSynced = true;
      return [runnerId, status];
    }),
  );
  const cordonedIds = new Set<string>();
  const movingIds = new Set<string>();
  const suspectIds = new Set<string>();
  const findStatus = ({ runnerId }: { readonly runnerId: string }) =>
    statuses.get(runnerId);
  const accounts = new PoolAccounts({
    log: new SchedulingLog({ agreement, clock }),
    fleet: { findStatus },
    clock,
    mayPlaceOn: (runner) =>
      !runner.isDraining && !cordonedIds.has(runner.runnerId) &&
      !movingIds.has(runner.runnerId) &&
      (findStatus(runner)?.isOperational ?? false),
    isSuspect: ({ runnerId }) => suspectIds.has(runnerId),
    isInMaintenance: ({ runnerId }) => cordonedIds.has(runnerId),
    isMoving: ({ runnerId }) => movingIds.has(runnerId),
  });
  const find = (pool: string) =>
    Object.fromEntries(accounts.sum().get(pool) ?? []);
  return {
    accounts,
    clock,
    cordonedIds,
    find,
    movingIds,
    statuses,
    suspectIds,
  };
}

// Guards against capacity that no line accounts for: free, waiting and sound
// did not tell waves, moves and a new term from work.
describe("the accounts of a pool", () => {
  describe("count a runner", () => {
    it("as suspect, so that its room does not count as free", () => {
      const { find, suspectIds } = setUp([createRunner("suspect")]);
      suspectIds.add("suspect");
      assert.equal(find("bay"), { suspect: VM_MILLICORES });
    });

    it("as free, cordoned or about to leave", () => {
      const names = ["free", "cordoned", "moving"];
      const { cordonedIds, find, movingIds } = setUp(
        names.map((name) => createRunner(name)),
      );
      cordonedIds.add("cordoned");
      movingIds.add("moving");
      assert.equal(find("bay"), {
        free: VM_MILLICORES,
        cordoned: VM_MILLICORES,
        leaving: VM_MILLICORES,
      });
    });

    it("as unheard until it answers or a request fails", () => {
      const { find, statuses } = setUp([createRunner("r1")]);
      const status = statuses.get("r1");
      assert.ok(status);
      status.isSynced = false;
      assert.equal(find("bay"), { unheard: VM_MILLICORES });
      status.recordNoAnswer();
      assert.equal(find("bay"), { silent: VM_MILLICORES });
    });

    it("as silent when it is not heard for too long", async () => {
      const { clock, find, statuses } = setUp([createRunner("r1")]);
      const status = statuses.get("r1");
      assert.ok(status);
      status.isSynced = false;
      await clock.advance(SILENCE_MS);
      assert.equal(find("bay"), { silent: VM_MILLICORES });
    });

    it("as draining, with the work on it", () => {
      const { find } = setUp([createRunner("r1", { isDraining: true })]);
      assert.equal(find("bay"), { draining: VM_MILLICORES });
    });
  });

  describe("count a VM without a known runner", () => {
    it("by its state", () => {
      const { accounts, find } = setUp([createRunner("r1")]);
      accounts.recordListing([
        createListed("known", { runnerId: "r1" }),
        createListed("away", { state: "upkeep" }),
        createListed("new"),
        createListed("broken", { state: "down" }),
        createListed("off", { pool: "reserve" }),
      ]);
      assert.equal(find("bay"), {
        free: VM_MILLICORES,
        maintenance: VM_MILLICORES,
        empty: VM_MILLICORES,
        down: VM_MILLICORES,
      });
      assert.equal(find("reserve"), { standby: VM_MILLICORES });
    });

    it("as arriving at its new pool after a move", async () => {
      const { accounts, clock, find } = setUp([]);
      const listed = createListed("vm1");
      accounts.recordListing([listed]);
      accounts.recordMoved(listed, "dock");
      assert.equal(find("bay"), {});
      assert.equal(find("dock"), { arriving: VM_MILLICORES });
      await clock.advance(MOVE_MS + 1);
      assert.equal(find("dock"), {});
    });

    // Guards against pools that seem to have VMs to spare, and give them away.
    it("once when its runner is there, listed or not", () => {
      const { accounts, find } = setUp([
        createRunner("r1", { pool: "dock" }),
        createRunner("r2", { pool: "dock" }),
      ]);
      const [first, second] = [createListed("vm1"), createListed("vm2")];
      accounts.recordListing([first, second]);
      accounts.recordMoved(first, "dock");
      accounts.recordMoved(second, "dock");
      assert.equal(find("dock"), { free: 2 * VM_MILLICORES });
      accounts.recordListing([
        createListed("vm1", { pool: "dock", runnerId: "r1" }),
        createListed("vm2", { pool: "dock", state: "moving" }),
      ]);
      assert.equal(find("dock"), { free: 2 * VM_MILLICORES });
    });

    // A move that an earlier leader has ordered.
    it("as arriving where the list says that it moves", () => {
      const { accounts, find } = setUp([]);
      accounts.recordListing([createListed("vm1", { state: "moving" })]);
      assert.equal(find("bay"), { arriving: VM_MILLICORES });
    });
  });
});
