/** Runs controllers over a fake log and an in-memory platform. */
import { SeededRandom } from "../adapters/random/index.ts";
import {
  DomainBudgetPolicy,
  EscalatingPressurePolicy,
  HysteresisMovePolicy,
  type MovePolicy,
  type PoolDemand,
  ZoneByZoneWavePolicy,
} from "../decisions/index.ts";
import type {
  DecisionRecord,
  Labels,
  Resource,
  VmAssignment,
} from "../domain/index.ts";
import type { Platform } from "../ports/index.ts";
import {
  Controller,
  DecisionRecorder,
  FreshnessLeaseWait,
} from "../services/index.ts";
import { PlatformModel } from "../stand_ins/platform_model.ts";
import { FakeLog, FakeLogAgreement } from "./fake_log.ts";
import { FakeClock } from "./fake_clock.ts";
import { FakeLogger } from "./fake_ports.ts";

const ROUND_MS = 1_000;
const MAX_ROUND_MS = 60_000;

/** A controller that can crash in the middle of a round. */
export interface RunningController {
  readonly agreement: FakeLogAgreement;
  /** Makes every call of the platform fail after that many further calls. */
  crashAfter(callCount: number): void;
  /** Runs one round; ignores a crash within it. */
  runRound(): Promise<void>;
}

/** Controllers, the log that they share, and the platform that they control. */
export class ControllerFixture {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly log: FakeLog;
  readonly platform: PlatformModel;
  /** Demand of each pool, as the controllers see it. */
  demand: readonly PoolDemand[] = [];
  /** Creates the move policy of each controller that is started. */
  createMovePolicy: () => MovePolicy = () => new HysteresisMovePolicy();
  #startedCount = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.log = new FakeLog(this.clock, this.random);
    this.platform = new PlatformModel({
      clock: this.clock,
      random: this.random,
    });
  }

  /**
   * Puts resources into the log and adds the VMs among them to the platform.
   */
  declare(resources: readonly Resource[]): void {
    this.log.declare(resources);
    for (const resource of resources) {
      if (resource.kind === "vm") {
        this.platform.addVm(resource.name, resource.zone, resource.rack);
      }
    }
  }

  /** Changes the labels of a VM, as an operator does. */
  relabel(vm: string, labels: Labels): void {
    const stored = this.log.state.find("vm", vm);
    if (stored !== undefined) {
      this.log.declare([{ ...stored.resource, labels }]);
    }
  }

  /**
   * Starts a controller; several may consider themselves the leader at once.
   */
  startController(): RunningController {
    this.#startedCount += 1;
    const entryId = `entry-${this.#startedCount}`;
    const agreement = new FakeLogAgreement(this.log, entryId);
    const logger = new FakeLogger();
    const crashing = createCrashingPlatform(this.platform);
    const recorder = new DecisionRecorder({
      entryId,
      runId: "run",
      agreement,
      clock: this.clock,
      logger,
    });
    const controller = new Controller({
      agreement,
      platform: crashing.platform,
      clock: this.clock,
      random: this.random,
      logger,
      recorder,
      budgets: new DomainBudgetPolicy(),
      waves: new ZoneByZoneWavePolicy(),
      moves: this.createMovePolicy(),
      pressure: new EscalatingPressurePolicy(),
      inForce: new FreshnessLeaseWait(this.clock),
      countRunningRequests: () => 0,
      listDemand: () => this.demand,
    });
    return {
      agreement,
      crashAfter: crashing.crashAfter,
      runRound: async () => {
        await controller.runRound().catch(() => undefined);
        await recorder.flush();
      },
    };
  }

  /**
   * Runs rounds of all controllers, one second apart, with a check after each.
   */
  async run(
    controllers: readonly RunningController[],
    roundCount: number,
    check: () => void = () => undefined,
  ): Promise<void> {
    for (let round = 0; round < roundCount; round += 1) {
      const rounds = controllers.map((controller) => controller.runRound());
      await this.clock.runUntil(Promise.all(rounds), MAX_ROUND_MS);
      check();
      await this.clock.advance(ROUND_MS);
    }
  }

  /**
   * Finds the assignment of a VM.
   *
   * @param vm - Name of the VM.
   * @returns The assignment.
   * @throws Error when the VM has none.
   */
  assignment(vm: string): VmAssignment {
    const assignment = this.log.state.findAssignment(vm);
    if (assignment === undefined) {
      throw new Error(`vm/${vm} has no assignment`);
    }
    return assignment;
  }

  /** Lists the decision records about a subject, oldest first. */
  records(subject: string, action?: DecisionRecord["action"]) {
    return this.log.state.listRecords().filter((record) =>
      record.subjects.includes(subject) &&
      (action === undefined || record.action === action)
    );
  }
}

/** Creates a VM resource, labelled with its pool. */
export function declareVm(
  name: string,
  zone: string,
  rack: string,
  pool: string,
): Resource {
  return { kind: "vm", name, zone, rack, labels: { pool } };
}

/** Creates a pool resource that selects VMs by the label `pool`. */
export function declarePool(
  name: string,
  options: Partial<Extract<Resource, { kind: "pool" }>> = {},
): Resource {
  return {
    kind: "pool",
    name,
    labels: {},
    vmSelector: { pool: [name] },
    spare: false,
    budgets: [],
    ...options,
  };
}

// Creates a platform whose calls throw once the number of calls that was set
// with `crashAfter` is used up, as if the controller had crashed.
function createCrashingPlatform(platform: PlatformModel) {
  let remainingCallCount = Infinity;
  const countCall = () => {
    remainingCallCount -= 1;
    if (remainingCallCount < 0) {
      throw new Error("the controller has crashed");
    }
    return platform;
  };
  const crashingPlatform: Platform = {
    listVms: async () => await countCall().listVms(),
    listTasks: async () => await countCall().listTasks(),
    drain: async (vm, id) => await countCall().drain(vm, id),
    reboot: async (vm, id) => await countCall().reboot(vm, id),
    undrain: async (vm, id) => await countCall().undrain(vm, id),
    actOnTask: async (task, action, id) =>
      await countCall().actOnTask(task, action, id),
  };
  const crashAfter = (callCount: number) => {
    remainingCallCount = callCount;
  };
  return { platform: crashingPlatform, crashAfter };
}
