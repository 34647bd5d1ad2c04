/** Gauges of the leader with prom-client. */
import { Gauge, type Registry } from "prom-client";
import type { SchedulingGauges } from "../../ports/index.ts";

const MS_PER_SECOND = 1_000;

/** Sets the gauges that only the leader has; they are empty elsewhere. */
export class LeaderGauges {
  readonly #openJobs: Gauge<"state">;
  readonly #runners: Gauge<"condition">;
  readonly #term: Gauge;
  readonly #catalog: Gauge;
  readonly #waitingTasks: Gauge<"pool">;
  readonly #freeMillicores: Gauge<"pool">;
  readonly #suspectRunners: Gauge<"pool">;
  readonly #poolMillicores: Gauge<"pool" | "share">;
  readonly #wantedMillicores: Gauge<"pool">;
  readonly #nextTurnSeconds: Gauge<"pool">;
  readonly #delayedSteps: Gauge<"reason">;

  /** @param registry - Registry that renders the gauges. */
  constructor(registry: Registry) {
    const registers = [registry];
    this.#openJobs = new Gauge({
      name: "cardamomsill_open_jobs",
      help: "Jobs that have not ended, at the leader, by state",
      labelNames: ["state"],
      registers,
    });
    this.#runners = new Gauge({
      name: "cardamomsill_runners",
      help: "Runners at the leader, by condition",
      labelNames: ["condition"],
      registers,
    });
    this.#term = new Gauge({
      name: "cardamomsill_leader_term",
      help: "Term that this process leads; 0 while it does not",
      registers,
    });
    this.#catalog = new Gauge({
      name: "cardamomsill_catalog_version",
      help: "Version of the catalog in force at the leader",
      registers,
    });
    this.#waitingTasks = new Gauge({
      name: "cardamomsill_waiting_tasks",
      help: "Tasks at the leader that could start now, by pool",
      labelNames: ["pool"],
      registers,
    });
    this.#freeMillicores = new Gauge({
      name: "cardamomsill_free_millicores",
      help: "Free CPU of the runners that may get work, at the leader, by pool",
      labelNames: ["pool"],
      registers,
    });
    this.#suspectRunners = new Gauge({
      name: "cardamomsill_suspect_runners",
      help: "Runners that get one task at a time, at the leader, by pool",
      labelNames: ["pool"],
      registers,
    });
    this.#poolMillicores = new Gauge({
      name: "cardamomsill_pool_millicores",
      help: "CPU of all VMs at the leader, by pool and what it is used for",
      labelNames: ["pool", "share"],
      registers,
    });
    this.#wantedMillicores = new Gauge({
      name: "cardamomsill_wanted_millicores",
      help: "CPU that pools need now or one move ahead, at the leader",
      labelNames: ["pool"],
      registers,
    });
    this.#nextTurnSeconds = new Gauge({
      name: "cardamomsill_next_turn_seconds",
      help: "Time until the next expected turn of a pool, at the leader",
      labelNames: ["pool"],
      registers,
    });
    this.#delayedSteps = new Gauge({
      name: "cardamomsill_delayed_steps",
      help:
        "Waiting steps at the leader behind others in full pools, by reason",
      labelNames: ["reason"],
      registers,
    });
  }

  /**
   * Sets all gauges.
   *
   * @param gauges - What the leader knows; undefined on any other process.
   */
  set(gauges: SchedulingGauges | undefined): void {
    this.#term.set(gauges?.term ?? 0);
    setAll(this.#openJobs, gauges?.openJobCounts);
    setAll(this.#runners, gauges?.runnerCounts);
    setAll(this.#waitingTasks, gauges?.waitingTaskCounts);
    setAll(this.#freeMillicores, gauges?.freeMillicores);
    setAll(this.#delayedSteps, gauges?.delayedStepCounts);
    setAll(this.#suspectRunners, gauges?.suspectRunnerCounts);
    this.#poolMillicores.reset();
    this.#wantedMillicores.reset();
    this.#nextTurnSeconds.reset();
    if (gauges !== undefined) {
      this.#catalog.set(gauges.catalogVersion);
      this.#setPools(gauges);
    }
  }

  #setPools({ poolMillicores, poolNeeds = new Map() }: SchedulingGauges): void {
    for (const [pool, account] of poolMillicores) {
      for (const [share, millicores] of account) {
        this.#poolMillicores.set({ pool, share }, millicores);
      }
    }
    for (const [pool, { nextTurnMs, wantedMillicores }] of poolNeeds) {
      this.#wantedMillicores.set({ pool }, wantedMillicores);
      if (nextTurnMs !== undefined) {
        this.#nextTurnSeconds.set({ pool }, nextTurnMs / MS_PER_SECOND);
      }
    }
  }
}

function setAll<Label extends string>(
  gauge: Gauge<Label>,
  values: ReadonlyMap<string, number> | undefined,
): void {
  gauge.reset();
  for (const [name, value] of values ?? []) {
    gauge.labels(name).set(value);
  }
}
