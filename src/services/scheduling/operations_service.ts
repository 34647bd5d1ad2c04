/** Operators' orders about catalog, zones and waves, as the leader answers them. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  type Catalog,
  catalogSchema,
  createFailure,
  type Failure,
  findCatalogFault,
  validateWith,
} from "../../domain/index.ts";
import type { Clock, Logger } from "../../ports/index.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Schema of an order that takes a zone out or back. */
export const zoneRequestSchema = v.object({
  zone: v.pipe(v.string(), v.minLength(1)),
  isOut: v.boolean(),
});

/** Schema of {@link WaveRequest}. */
export const waveRequestSchema = v.object({
  waveId: v.pipe(v.number(), v.integer()),
  vms: v.array(v.string()),
  /** VMs that may be away at once. */
  maxAwayCount: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Time within which the wave must be complete, in milliseconds. */
  completeWithinMs: v.pipe(v.number(), v.minValue(0)),
});

/** An order for the upkeep of some VMs. */
export type WaveRequest = v.InferOutput<typeof waveRequestSchema>;

const waveQuerySchema = v.object({ waveId: v.number() });

/** Options of {@link OperationsService}. */
export interface OperationsServiceOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Replaces and shows the catalog, takes zones out and back, starts waves. */
export class OperationsService {
  readonly #options: OperationsServiceOptions;

  constructor(options: OperationsServiceOptions) {
    this.#options = options;
  }

  /**
   * Puts a catalog in force, unless a newer one is.
   *
   * @param body - The catalog, not validated yet.
   * @returns The version in force once it is durable, or `invalidInput`.
   */
  async replaceCatalog(
    body: unknown,
  ): Promise<Result<{ readonly version: number }, Failure>> {
    const { log, logger } = this.#options;
    const checked = validateWith(catalogSchema, body, { subject: "catalog" })
      .andThen(checkCatalog);
    if (checked.isErr) {
      logger.warn({ failure: checked.error }, "refused a catalog");
      return Result.err(checked.error);
    }
    const catalog = checked.value;
    if (catalog.version > log.state.catalog.version) {
      const proposed = await log.propose([{ type: "catalog", catalog }]);
      if (proposed.isErr) {
        return Result.err(proposed.error);
      }
    }
    const { version } = log.state.catalog;
    logger.info({ sentVersion: catalog.version, version }, "took a catalog");
    return Result.ok({ version });
  }

  /** Reads the catalog in force back as it was sent. */
  readCatalog(): Result<{ readonly source: string }, Failure> {
    const { source, version } = this.#options.log.state.catalog;
    return version < 0
      ? Result.err(createFailure("noCatalog", "no catalog is accepted yet"))
      : Result.ok({ source });
  }

  /**
   * Takes a zone out or back.
   *
   * @param body - The order, not validated yet.
   */
  async setZone(body: unknown): Promise<Result<unknown, Failure>> {
    const { log, logger } = this.#options;
    const request = validateWith(zoneRequestSchema, body, { subject: "zone" });
    if (request.isErr) {
      return Result.err(request.error);
    }
    const { zone, isOut } = request.value;
    if (log.state.zonesOut.has(zone) === isOut) {
      return Result.ok({});
    }
    logger.info({ zone, isOut }, isOut ? "takes a zone out" : "takes it back");
    return await log.propose([{ type: "zone", zone, isOut }]);
  }

  /**
   * Starts a wave of upkeep.
   *
   * @param body - The order, not validated yet.
   */
  async startWave(body: unknown): Promise<Result<unknown, Failure>> {
    const { log, clock, logger } = this.#options;
    const request = validateWith(waveRequestSchema, body, { subject: "wave" });
    if (request.isErr) {
      return Result.err(request.error);
    }
    const { completeWithinMs, ...wave } = request.value;
    if (log.state.waves.has(wave.waveId)) {
      return Result.ok({});
    }
    logger.info({ ...request.value }, "starts a wave");
    const completeByMs = clock.nowMs() + completeWithinMs;
    return await log.propose([{ type: "wave", ...wave, completeByMs }]);
  }

  /**
   * Tells whether a wave is complete.
   *
   * @param body - The wave, not validated yet.
   * @returns Whether every VM has had its upkeep, or `notFound`.
   */
  readWave(
    body: unknown,
  ): Result<{ readonly isComplete: boolean }, Failure> {
    const { log } = this.#options;
    return validateWith(waveQuerySchema, body, { subject: "wave" })
      .andThen(({ waveId }) => {
        const wave = log.state.waves.get(waveId);
        if (wave === undefined) {
          return Result.err<{ isComplete: boolean }, Failure>(
            createFailure("notFound", `wave ${waveId} is not known`),
          );
        }
        const isComplete = wave.vms.every((vm) => wave.progress[vm] === "done");
        return Result.ok<{ isComplete: boolean }, Failure>({ isComplete });
      });
  }
}

function checkCatalog(catalog: Catalog): Result<Catalog, Failure> {
  const fault = findCatalogFault(catalog);
  return fault === undefined ? Result.ok(catalog) : Result.err(
    createFailure("invalidInput", `catalog ${catalog.version}: ${fault}`, {
      remedy: "correct it and send it again",
    }),
  );
}
