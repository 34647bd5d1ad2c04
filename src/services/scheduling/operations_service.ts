/** The leader's service for operator requests about the catalog and waves. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  type Catalog,
  catalogSchema,
  createFailure,
  type Failure,
  findCatalogFault,
  validateWith,
  type WaveRecord,
} from "../../domain/index.ts";
import type { Clock, Logger } from "../../ports/index.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Schema of {@link WaveRequest}. */
export const waveRequestSchema = v.object({
  waveId: v.pipe(v.number(), v.integer()),
  vms: v.array(v.string()),
  /** Number of VMs that may be unavailable at once. */
  maxAwayCount: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Time from now by which the wave must be complete, in milliseconds. */
  completeWithinMs: v.pipe(v.number(), v.minValue(0)),
});

/** A request for the maintenance of some VMs. */
export type WaveRequest = v.InferOutput<typeof waveRequestSchema>;

const waveQuerySchema = v.object({ waveId: v.number() });

/** Options of {@link OperationsService}. */
export interface OperationsServiceOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Replaces and reads the catalog, starts and reads waves. */
export class OperationsService {
  readonly #options: OperationsServiceOptions;

  constructor(options: OperationsServiceOptions) {
    this.#options = options;
  }

  /**
   * Replaces the catalog, unless the one in force has the same or a newer
   * version.
   *
   * @param body - The catalog, not validated yet.
   * @returns The version in force once it is durable; `invalidInput`, or why
   * the catalog could not be recorded.
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
    logger.info(
      {
        sentVersion: catalog.version,
        version,
        ...log.describeReliance(),
      },
      "took a catalog",
    );
    return Result.ok({ version });
  }

  /** Returns the text of the catalog in force as it was sent, or `noCatalog`. */
  readCatalog(): Result<{ readonly source: string }, Failure> {
    const { log, logger } = this.#options;
    const { source, version } = log.state.catalog;
    logger.info({ ...log.describeReliance() }, "read the catalog");
    return version < 0
      ? Result.err(
        createFailure("noCatalog", "no catalog has been accepted yet"),
      )
      : Result.ok({ source });
  }

  /**
   * Starts a maintenance wave. The same request may come again, also at the same
   * time.
   *
   * @param body - The request, not validated yet.
   * @returns Nothing once it is durable; `invalidInput`, `conflict` if the number
   * is that of a wave with other VMs, another limit or another time, or why the
   * wave could not be recorded.
   */
  async startWave(body: unknown): Promise<Result<unknown, Failure>> {
    const { log, clock, logger } = this.#options;
    const request = validateWith(waveRequestSchema, body, { subject: "wave" });
    if (request.isErr) {
      return Result.err(request.error);
    }
    const wave = { ...request.value, vms: [...new Set(request.value.vms)] };
    if (!log.state.waves.has(wave.waveId)) {
      logger.info({ ...wave }, "starting a maintenance wave");
      const completeByMs = clock.nowMs() + wave.completeWithinMs;
      const proposed = await log.propose([
        { type: "wave", ...wave, completeByMs },
      ]);
      if (proposed.isErr) {
        return Result.err(proposed.error);
      }
    }
    // Another request with this number may have come first.
    const known = log.state.waves.get(wave.waveId);
    if (known !== undefined && isSameWave(known, wave)) {
      return Result.ok({});
    }
    logger.warn(
      {
        waveId: wave.waveId,
        otherVms: wave.vms.filter((vm) => !known?.vms.includes(vm)),
        vmCount: known?.vms.length,
        maxAwayCount: known?.maxAwayCount,
        completeWithinMs: known?.completeWithinMs,
        sentVmCount: wave.vms.length,
        sentMaxAwayCount: wave.maxAwayCount,
        sentCompleteWithinMs: wave.completeWithinMs,
      },
      "refused a wave with a known number",
    );
    return Result.err(
      createFailure(
        "conflict",
        `wave ${wave.waveId} exists with other VMs, limit or time`,
        { remedy: "start the wave with a number of its own" },
      ),
    );
  }

  /**
   * Returns whether a wave is complete.
   *
   * @param body - The wave, not validated yet.
   * @returns Whether the maintenance of every VM is done; `invalidInput` or
   * `notFound`.
   */
  readWave(
    body: unknown,
  ): Result<{ readonly isComplete: boolean }, Failure> {
    const { log, logger } = this.#options;
    return validateWith(waveQuerySchema, body, { subject: "wave" })
      .andThen(({ waveId }) => {
        const wave = log.state.waves.get(waveId);
        if (wave === undefined) {
          return Result.err<{ isComplete: boolean }, Failure>(
            createFailure("notFound", `wave ${waveId} does not exist`),
          );
        }
        const isComplete = wave.vms.every((vm) => wave.progress[vm] === "done");
        logger.info(
          { waveId, isComplete, ...log.describeReliance() },
          "read a wave",
        );
        return Result.ok<{ isComplete: boolean }, Failure>({ isComplete });
      });
  }
}

// The records of earlier releases have no time to compare.
function isSameWave(known: WaveRecord, sent: WaveRequest): boolean {
  const { completeWithinMs = sent.completeWithinMs, maxAwayCount } = known;
  const vms = new Set(known.vms);
  return maxAwayCount === sent.maxAwayCount &&
    completeWithinMs === sent.completeWithinMs &&
    vms.size === sent.vms.length && sent.vms.every((vm) => vms.has(vm));
}

function checkCatalog(catalog: Catalog): Result<Catalog, Failure> {
  const fault = findCatalogFault(catalog);
  return fault === undefined ? Result.ok(catalog) : Result.err(
    createFailure(
      "invalidInput",
      `catalog ${catalog.version} is invalid: ${fault}`,
      {
        remedy: "correct the catalog and send it again",
      },
    ),
  );
}
