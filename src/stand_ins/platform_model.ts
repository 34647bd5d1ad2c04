/** An in-memory model of the platform with injectable faults. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";
import type {
  Clock,
  Platform,
  PlatformTask,
  PlatformVm,
  Random,
  TaskAction,
} from "../ports/index.ts";

const PERCENT = 100;

/** Faults of the platform; each probability is in percent. */
export interface PlatformFaults {
  /** The command is not carried out, and there is no answer. */
  readonly lostRequestPercent: number;
  /** The command is carried out, but there is no answer. */
  readonly lostAnswerPercent: number;
  /** The command is delivered a second time after a delay. */
  readonly doubledPercent: number;
  /** The command is answered at once, but carried out after a delay. */
  readonly latePercent: number;
  /** A VM list lacks a VM or reports one in a wrong state. */
  readonly wrongPercent: number;
  /**
   * Delay of late commands, in milliseconds; repeated ones have twice this
   * delay.
   */
  readonly lateMs: number;
}

const NO_FAULTS: PlatformFaults = {
  lostRequestPercent: 0,
  lostAnswerPercent: 0,
  doubledPercent: 0,
  latePercent: 0,
  wrongPercent: 0,
  lateMs: 5_000,
};

const DEFAULT_REBOOT_MS = 20_000;

/** Options of {@link PlatformModel}. */
export interface PlatformModelOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Duration of a reboot, in milliseconds. */
  readonly rebootMs?: number;
}

/** Record of one reboot that was carried out. */
export interface RebootRecord {
  readonly vm: string;
  readonly operationId: string;
  /** Number of tasks and requests that the reboot interrupted; must be 0. */
  readonly cutCount: number;
}

type MutableVm = { -readonly [K in keyof PlatformVm]: PlatformVm[K] };

/** The VMs and tasks of a platform. */
export class PlatformModel implements Platform {
  /** All reboots that were carried out, in order. */
  readonly reboots: RebootRecord[] = [];
  /** VMs whose state is `down` after a reboot. */
  readonly stuckVms = new Set<string>();
  /** All actions on tasks that were carried out, in order. */
  readonly taskActions: string[] = [];
  /** Whether a reboot of a VM that is not drained is ignored. */
  refusesUndrained = true;
  faults: PlatformFaults = NO_FAULTS;
  readonly #options: PlatformModelOptions;
  readonly #vms = new Map<string, MutableVm>();
  readonly #tasks = new Map<string, PlatformTask>();
  readonly #completedOperationIds = new Set<string>();

  constructor(options: PlatformModelOptions) {
    this.#options = options;
  }

  /** Adds a VM in state `up`. */
  addVm(vm: string, zone: string, rack: string): void {
    this.#vms.set(vm, {
      vm,
      zone,
      rack,
      state: "up",
      bootCount: 1,
      runningCount: 0,
    });
  }

  /** Starts a task, if its VM is in state `up`. */
  addTask(task: PlatformTask): void {
    if (this.findState(task.vm) !== "up") {
      return;
    }
    this.#tasks.set(task.taskId, task);
    this.#updateRunningCount(task.vm);
  }

  /** Ends a task. */
  endTask(taskId: string): void {
    const vm = this.#tasks.get(taskId)?.vm;
    this.#tasks.delete(taskId);
    this.#updateRunningCount(vm ?? "");
  }

  /** Sets the state of a VM, to simulate an unplanned loss and its end. */
  setState(vm: string, state: PlatformVm["state"]): void {
    const known = this.#vms.get(vm);
    if (known !== undefined) {
      known.state = state;
    }
  }

  /** Returns the actual state of a VM, which a list may report wrongly. */
  findState(vm: string): PlatformVm["state"] | undefined {
    return this.#vms.get(vm)?.state;
  }

  /** Sets the faults from now on; faults that are not given are off. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.faults = { ...NO_FAULTS, ...faults };
  }

  listVms(): Promise<Result<readonly PlatformVm[], Failure>> {
    const listed = [...this.#vms.values()].map((vm) => ({ ...vm }));
    return this.#answer(this.#falsify(listed));
  }

  listTasks(): Promise<Result<readonly PlatformTask[], Failure>> {
    return this.#answer([...this.#tasks.values()]);
  }

  drain(vm: string, operationId: string): Promise<Result<void, Failure>> {
    return this.#carryOut(operationId, () => {
      const known = this.#vms.get(vm);
      if (known !== undefined && known.state === "up") {
        known.state = known.runningCount === 0 ? "drained" : "draining";
      }
    });
  }

  reboot(vm: string, operationId: string): Promise<Result<void, Failure>> {
    const { refusesUndrained } = this;
    const isAllowed = () =>
      !refusesUndrained || this.findState(vm) === "drained";
    const reboot = () => this.#reboot(vm, operationId);
    return this.#carryOut(operationId, reboot, isAllowed);
  }

  undrain(vm: string, operationId: string): Promise<Result<void, Failure>> {
    return this.#carryOut(operationId, () => {
      const known = this.#vms.get(vm);
      if (known?.state === "draining" || known?.state === "drained") {
        known.state = "up";
      }
    });
  }

  actOnTask(
    taskId: string,
    action: TaskAction,
    operationId: string,
  ): Promise<Result<void, Failure>> {
    return this.#carryOut(operationId, () => {
      this.taskActions.push(`${action} ${taskId}`);
      if (action !== "throttle") {
        this.endTask(taskId);
      }
    });
  }

  #reboot(vm: string, operationId: string): void {
    const known = this.#vms.get(vm);
    if (known === undefined || known.state === "rebooting") {
      return;
    }
    this.reboots.push({ vm, operationId, cutCount: known.runningCount });
    known.state = "rebooting";
    const rebootMs = this.#options.rebootMs ?? DEFAULT_REBOOT_MS;
    void this.#options.clock.sleep(rebootMs).then(() => {
      known.bootCount += 1;
      known.state = this.stuckVms.has(vm) ? "down" : "drained";
    });
  }

  #updateRunningCount(vm: string): void {
    const known = this.#vms.get(vm);
    if (known === undefined) {
      return;
    }
    const running = [...this.#tasks.values()].filter((task) => task.vm === vm);
    known.runningCount = running.length;
    if (known.state === "draining" && running.length === 0) {
      known.state = "drained";
    }
  }

  async #carryOut(
    operationId: string,
    effect: () => void,
    isAllowed = () => true,
  ): Promise<Result<void, Failure>> {
    const { faults } = this;
    if (this.#happens(faults.lostRequestPercent)) {
      return createTimeout();
    }
    const carryOut = () => {
      if (!this.#completedOperationIds.has(operationId) && isAllowed()) {
        this.#completedOperationIds.add(operationId);
        effect();
      }
    };
    const { clock } = this.#options;
    if (this.#happens(faults.latePercent)) {
      void clock.sleep(faults.lateMs).then(carryOut);
    } else {
      carryOut();
    }
    if (this.#happens(faults.doubledPercent)) {
      void clock.sleep(faults.lateMs * 2).then(carryOut);
    }
    return await this.#answer(undefined);
  }

  #answer<T>(value: T): Promise<Result<T, Failure>> {
    return Promise.resolve(
      this.#happens(this.faults.lostAnswerPercent)
        ? createTimeout<T>()
        : Result.ok<T, Failure>(value),
    );
  }

  #falsify(listed: MutableVm[]): MutableVm[] {
    if (listed.length === 0 || !this.#happens(this.faults.wrongPercent)) {
      return listed;
    }
    const at = this.#options.random.nextInt(listed.length);
    const wrong = listed[at];
    if (wrong === undefined || this.#happens(PERCENT / 2)) {
      return listed.filter((_, position) => position !== at);
    }
    wrong.state = wrong.state === "up" ? "drained" : "up";
    wrong.bootCount += this.#options.random.nextInt(2);
    wrong.runningCount = 0;
    return listed;
  }

  #happens(percent: number): boolean {
    return percent > 0 && this.#options.random.nextInt(PERCENT) < percent;
  }
}

function createTimeout<T>(): Result<T, Failure> {
  return Result.err(
    createFailure("peerUnreachable", "the platform did not answer in time"),
  );
}
