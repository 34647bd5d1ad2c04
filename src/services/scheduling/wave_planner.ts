/** Plans the next actions of all waves together. */
import {
  chooseMaintenanceTurns,
  type GuardedStep,
  MaintenanceBudget,
  type MaintenanceCandidate,
  type MaintenanceOutcome,
  type MaintenancePlan,
  type MaintenancePolicy,
  type MaintenanceTurn,
  type PoolLoad,
} from "../../decisions/index.ts";
import type { Runner, RunningTask, WaveRecord } from "../../domain/index.ts";
import type { Clock, ListedVm } from "../../ports/index.ts";
import type { MaintenanceStarter } from "./maintenance_starter.ts";
import type { VmPresence } from "./vm_presence.ts";
import type { CompletedListing } from "./wave_progress.ts";

/** Options of {@link WavePlanner}. */
export interface WavePlannerOptions {
  readonly starter: MaintenanceStarter;
  readonly presence: VmPresence;
  readonly policy: MaintenancePolicy;
  readonly clock: Clock;
  /** Returns the waves that are not complete. */
  readonly listOpen: () => readonly WaveRecord[];
  /** Returns the runners that the leader knows. */
  readonly listRunners: () => readonly Runner[];
  /** Returns the demand and the capacity of the pools. */
  readonly listLoads: () => readonly PoolLoad[];
}

/** The next actions of one wave. */
export interface WavePlan {
  readonly waveId: number;
  /** VMs whose order is sent at once, though it may have been sent before. */
  readonly send: readonly string[];
  readonly plan: MaintenancePlan;
}

/** Plans waves within the limit of each, whichever waves share its VMs. */
export class WavePlanner {
  readonly #options: WavePlannerOptions;

  constructor(options: WavePlannerOptions) {
    this.#options = options;
  }

  /**
   * Plans the next actions of all waves.
   *
   * @param listing - The newest list of VMs.
   * @param cordonedRunnerIds - Runners that get no work for a wave.
   * @returns One plan for each wave that is not complete.
   */
  plan(
    listing: CompletedListing,
    cordonedRunnerIds: ReadonlySet<string>,
  ): WavePlan[] {
    const { clock, listLoads, listOpen, starter } = this.#options;
    const waves = listOpen();
    const pools = listLoads();
    const turns = chooseMaintenanceTurns({
      waves,
      findOutcome: (waveId, vm) => starter.orders.findOutcome({ waveId, vm }),
      nowMs: clock.nowMs(),
    });
    const budget = new MaintenanceBudget(waves, turns);
    const own = (wave: WaveRecord) =>
      wave.vms.filter((vm) => turns.get(vm)?.waveId === wave.waveId);
    const plans = waves.map((wave) => {
      // The policy cordons the next VMs while the wave's own limit is reached.
      const waiting = own(wave)
        .filter((vm) =>
          wave.progress[vm] === undefined && budget.allows(vm, wave.waveId)
        )
        .flatMap((vm) => listing.byName.get(vm) ?? [])
        .filter(({ state }) => state === "up");
      const leftCount = budget.countLeft(wave);
      const plan = this.#options.policy.plan({
        candidates: waiting.map((listed) =>
          this.#createCandidate(listed, cordonedRunnerIds)
        ),
        allowedStartCount: leftCount,
        leftMs: wave.completeByMs - clock.nowMs(),
        maxAwayCount: wave.maxAwayCount,
        pools,
      });
      return { wave, plan: { ...plan, begin: budget.spend(plan.begin) } };
    });
    const unknown = waves.flatMap((wave) =>
      this.#listUnknown(wave, own(wave), listing)
    );
    const allowed = new Set(chooseToSend(waves, turns, unknown, listing));
    return plans.map(({ plan, wave }) => {
      const late = budget.spend(this.#listLate(wave, own(wave), listing));
      const send = [...own(wave).filter((vm) => allowed.has(vm)), ...late];
      // Those that are not sent now get no new work until their turn.
      const held = [
        ...this.#listOrdered(wave, own(wave), "unknown"),
        ...this.#listOrdered(wave, own(wave), "refused"),
      ];
      const cordon = [...new Set([...plan.cordon, ...held])];
      return { waveId: wave.waveId, send, plan: { ...plan, cordon } };
    });
  }

  // Orders whose outcome is unknown count as carried out. What runs on a VM that
  // the list does not show could not be counted, unless the VM is gone.
  #listUnknown(
    wave: WaveRecord,
    own: readonly string[],
    listing: CompletedListing,
  ): string[] {
    const { byName } = listing;
    return this.#listOrdered(wave, own, "unknown").filter((vm) =>
      (byName.get(vm)?.state ?? "unknown") !== "unknown" ||
      this.#findGoneSinceMs(vm, listing) !== undefined
    );
  }

  // VMs that come after the others: the platform has refused them once, or has
  // to tell whether it still has them.
  #listLate(
    wave: WaveRecord,
    own: readonly string[],
    listing: CompletedListing,
  ): string[] {
    const { orders } = this.#options.starter;
    const { progress, waveId } = wave;
    const refused = this.#listOrdered(wave, own, "refused");
    const missing = [
      ...refused,
      ...own.filter((vm) => progress[vm] === undefined),
    ];
    return [
      ...refused.filter((vm) => listing.byName.get(vm)?.state === "up"),
      ...missing.filter((vm) => {
        const refusedAtMs = orders.findRefusedAtMs({ waveId, vm }) ?? -Infinity;
        const goneSinceMs = this.#findGoneSinceMs(vm, listing);
        return goneSinceMs !== undefined && refusedAtMs < goneSinceMs;
      }),
    ];
  }

  // A VM that was never listed in this term may have a runner that is not listed
  // either, whose tasks could not be counted.
  #findGoneSinceMs(vm: string, listing: CompletedListing): number | undefined {
    const { presence } = this.#options;
    const sinceMs = presence.findGoneSinceMs(vm, listing.requestedAtMs);
    return sinceMs === undefined || this.#hasUnlistedWork(listing)
      ? undefined
      : sinceMs;
  }

  #hasUnlistedWork({ byName }: CompletedListing): boolean {
    const { listRunners, starter } = this.#options;
    const listed = new Set([...byName.values()].map((vm) => vm.runnerId));
    return listRunners().some(({ isDraining, runnerId }) =>
      !isDraining && !listed.has(runnerId) &&
      starter.listRunning(runnerId).length > 0
    );
  }

  #listOrdered(
    { progress, waveId }: WaveRecord,
    own: readonly string[],
    outcome: MaintenanceOutcome,
  ): string[] {
    const { orders } = this.#options.starter;
    return own.filter((vm) =>
      progress[vm] === "ordered" &&
      orders.findOutcome({ waveId, vm }) === outcome
    );
  }

  #createCandidate(
    { capacity, pool, runnerId, vm }: ListedVm,
    cordonedRunnerIds: ReadonlySet<string>,
  ): MaintenanceCandidate {
    const { starter } = this.#options;
    const running = starter.listRunning(runnerId);
    return {
      vm,
      pool,
      cpuMillicores: capacity.cpuMillicores,
      running,
      isProtected: !starter.mayStop(running),
      guardedSteps: running.flatMap(listGuardedStep),
      isCordoned: runnerId !== undefined && cordonedRunnerIds.has(runnerId),
    };
  }
}

function listGuardedStep(
  { id, step: { isEndless, maxAwayCount } }: RunningTask,
): GuardedStep[] {
  const stepId = `${id.jobId}.${id.occurrence}.${id.step}`;
  return isEndless && maxAwayCount !== undefined
    ? [{ stepId, maxAwayCount }]
    : [];
}

// A new leader knows of no refusals, so the log may have more orders whose
// outcome is unknown to it than VMs may be unavailable.
function chooseToSend(
  waves: readonly WaveRecord[],
  turns: ReadonlyMap<string, MaintenanceTurn>,
  unknown: readonly string[],
  { byName }: CompletedListing,
): string[] {
  const isBegun = (vm: string) => byName.get(vm)?.state === "upkeep";
  const begun = unknown.filter(isBegun);
  const others = new Set(unknown.filter((vm) => !isBegun(vm)));
  const budget = new MaintenanceBudget(
    waves,
    new Map([...turns].filter(([vm]) => !others.has(vm))),
  );
  return [...begun, ...budget.spend([...others])];
}
