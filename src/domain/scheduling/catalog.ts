/** The catalog of job queues, runner pools and teams, replaced as a whole. */
import * as v from "valibot";
import { amountsSchema } from "./amounts.ts";

const nameSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const nonNegativeSchema = v.pipe(v.number(), v.minValue(0));

/** Schema of {@link AdviceTerms}. */
export const adviceTermsSchema = v.object({
  /** Fixed part of the time that one request takes, in milliseconds. */
  decisionMs: nonNegativeSchema,
  /** Additional time for each runner in the request, in milliseconds. */
  perRunnerMs: nonNegativeSchema,
  /** Time for which a ticket is valid, in milliseconds. */
  validMs: nonNegativeSchema,
});

/** Response times and ticket validity of the advice service for a queue. */
export type AdviceTerms = v.InferOutput<typeof adviceTermsSchema>;

/** Schema of {@link JobQueue}. */
export const jobQueueSchema = v.object({
  name: nameSchema,
  /** Host name at which callers reach the queue. */
  host: v.string(),
  pathPrefix: v.pipe(v.string(), v.startsWith("/")),
  /** Pool whose runners run the queue's tasks. */
  pool: nameSchema,
  /** Whether callers can use the queue without a key. */
  isPublic: v.boolean(),
  /** Priority of the queue; 0 is the highest. */
  priority: nonNegativeSchema,
  /** Number of failed runs of one task after which its job has failed. */
  maxAttempts: v.pipe(v.number(), v.integer(), v.minValue(1)),
  timeoutMs: v.pipe(v.number(), v.gtValue(0)),
  /**
   * Factor by which the length of the job's critical path is multiplied to get
   * the time within which the job should end.
   */
  stretch: nonNegativeSchema,
  /** Time that is added to the stretched critical path, in milliseconds. */
  targetLatencyMs: nonNegativeSchema,
  advice: v.optional(adviceTermsSchema),
});

/** A queue that accepts jobs. */
export type JobQueue = v.InferOutput<typeof jobQueueSchema>;

/** Schema of {@link RunnerPool}. */
export const runnerPoolSchema = v.object({
  name: nameSchema,
  /** Whether the VMs of the pool are powered off and cost nothing. */
  isStandby: v.boolean(),
  /** Whether the runners refuse runs that exceed their capacity. */
  guardsCapacity: v.boolean(),
});

/** A pool of runners. */
export type RunnerPool = v.InferOutput<typeof runnerPoolSchema>;

/** Schema of {@link JobTeam}. */
export const jobTeamSchema = v.object({
  /** Name of the team; others may have it too, so jobs keep an id. */
  name: nameSchema,
  keys: v.array(v.pipe(v.string(), v.minLength(1))),
  priority: nonNegativeSchema,
  /** Share of the capacity, relative to other teams, when all of it is in use. */
  weight: nonNegativeSchema,
  /** Maximum amounts in use at once on all runners; 0 means unlimited. */
  limit: amountsSchema,
});

/** A team that submits jobs. */
export type JobTeam = v.InferOutput<typeof jobTeamSchema>;

/** Schema of {@link Catalog}. */
export const catalogSchema = v.object({
  /** Version of the catalog; the one with the highest version is in force. */
  version: v.pipe(v.number(), v.integer(), v.minValue(0)),
  queues: v.array(jobQueueSchema),
  pools: v.array(runnerPoolSchema),
  teams: v.array(jobTeamSchema),
  /** Text that the operator sent, returned when the catalog is read. */
  source: v.string(),
});

/** Queues, pools and teams of one catalog version. */
export type Catalog = v.InferOutput<typeof catalogSchema>;

/** The catalog that is in force until the first one is accepted. */
export const EMPTY_CATALOG: Catalog = {
  version: -1,
  queues: [],
  pools: [],
  teams: [],
  source: "",
};

/**
 * Checks the references and the uniqueness rules that the schema of a catalog
 * cannot express.
 *
 * @param catalog - The catalog.
 * @returns The first problem as text, or undefined when the catalog is valid.
 */
export function findCatalogFault(catalog: Catalog): string | undefined {
  const pools = new Set(catalog.pools.map(({ name }) => name));
  const queueWithoutPool = catalog.queues.find(({ pool }) => !pools.has(pool));
  if (queueWithoutPool !== undefined) {
    return `queue ${queueWithoutPool.name} refers to pool ${queueWithoutPool.pool}, which does not exist`;
  }
  const repeatedAddress = findRepeated(
    catalog.queues.map(({ host, pathPrefix }) => `${host}${pathPrefix}`),
  );
  if (repeatedAddress !== undefined) {
    return `two queues have the address ${repeatedAddress}`;
  }
  const keysOfTeams = catalog.teams.flatMap(({ keys }) => [...new Set(keys)]);
  return findRepeated(keysOfTeams) === undefined
    ? undefined
    : "two teams have the same key";
}

function findRepeated(values: readonly string[]): string | undefined {
  const seen = new Set<string>();
  return values.find((value) => seen.size === seen.add(value).size);
}
