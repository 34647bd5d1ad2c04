/** A platform in memory that loses, delays, doubles and falsifies answers. */
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

/** What goes wrong, each with its chance in percent. */
export interface PlatformFaults {
  /** The command is not carried out and no answer comes. */
  readonly lostRequestPercent: number;
  /** The command is carried out, but no answer comes. */
  readonly lostAnswerPercent: number;
  /** The command is carried out once more, later. */
  readonly doubledPercent: number;
  /** The command is carried out later than it is answered. */
  readonly latePercent: number;
  /** A VM is left out of a list, or reported in a wrong state. */
  readonly wrongPercent: number;
  /** Delay of late and doubled commands, in milliseconds. */
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
  /** How long a reboot takes, in milliseconds. */
  readonly rebootMs?: number;
}

/** One reboot that was carried out, and what it met. */
export interface RebootRecord {
  readonly vm: string;
  readonly operationId: string;
  /** Tasks and requests that the reboot cut; must be 0. */
  readonly cutCount: number;
}

type MutableVm = { -readonly [K in keyof PlatformVm]: PlatformVm[K] };

/** VMs and tasks of a platform. */
export class PlatformModel implements Platform {
  /** Every reboot that was carried out. */
  readonly reboots: RebootRecord[] = [];
  /** VMs that stay down after their next reboot. */
  readonly stuckVms = new Set<string>();
  /** Every action on a task that had an effect. */
  readonly taskActions: string[] = [];
  /** Whether a reboot of a VM that is not drained is refused. */
  refusesUndrained = true;
  faults: PlatformFaults = NO_FAULTS;
  readonly #options: PlatformModelOptions;
  readonly #vms = new Map<string, MutableVm>();
  readonly #tasks = new Map<string, PlatformTask>();
  readonly #completedOperationIds = new Set<string>();

  constructor(options: PlatformModelOptions) {
    this.#options = options;
  }

  /** Adds a VM that is up. */
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

  /** Starts a task; a VM that is not up takes none. */
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

  /** Makes a VM fail or come back, as unplanned losses do. */
  setState(vm: string, state: PlatformVm["state"]): void {
    const known = this.#vms.get(vm);
    if (known !== undefined) {
      known.state = state;
    }
  }

  /** Tells the true state of a VM, whatever the lists say. */
  findState(vm: string): PlatformVm["state"] | undefined {
    return this.#vms.get(vm)?.state;
  }

  /** Sets what goes wrong from now on. */
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
