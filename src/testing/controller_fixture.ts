/** Controllers over a fake log and a platform in memory, for tests. */
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

/** A controller that runs rounds until it crashes. */
export interface RunningController {
  readonly agreement: FakeLogAgreement;
  /** Ends it at the next call of the platform after so many more. */
  crashAfter(callCount: number): void;
  /** Runs one round; a crash in it is no error. */
  runRound(): Promise<void>;
}

/** A fleet of two zones, two racks each, under controllers. */
export class ControllerFixture {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly log: FakeLog;
  readonly platform: PlatformModel;
  demand: readonly PoolDemand[] = [];
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

  /** Declares resources and adds the VMs among them to the platform. */
  declare(resources: readonly Resource[]): void {
    this.log.declare(resources);
    for (const resource of resources) {
      if (resource.kind === "vm") {
        this.platform.addVm(resource.name, resource.zone, resource.rack);
      }
    }
  }

  /** Changes the labels of a VM as an operator does. */
  relabel(vm: string, labels: Labels): void {
    const stored = this.log.state.find("vm", vm);
    if (stored !== undefined) {
      this.log.declare([{ ...stored.resource, labels }]);
    }
  }

  /** Starts a controller; several may believe that they lead. */
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

  /** Runs rounds of controllers, a second apart, checking after each. */
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

  /** Finds the assignment of a VM that must have one. */
  assignment(vm: string): VmAssignment {
    const assignment = this.log.state.findAssignment(vm);
    if (assignment === undefined) {
      throw new Error(`vm/${vm} has no pool`);
    }
    return assignment;
  }

  /** Lists the records about a subject, oldest first. */
  records(subject: string, action?: DecisionRecord["action"]) {
    return this.log.state.listRecords().filter((record) =>
      record.subjects.includes(subject) &&
      (action === undefined || record.action === action)
    );
  }
}

/** Creates the declaration of a VM. */
export function declareVm(
  name: string,
  zone: string,
  rack: string,
  pool: string,
): Resource {
  return { kind: "vm", name, zone, rack, labels: { pool } };
}

/** Creates the declaration of a pool that claims VMs by the label `pool`. */
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
