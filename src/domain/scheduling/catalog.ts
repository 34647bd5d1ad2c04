/** The catalog: job queues, runner pools and teams, replaced as a whole. */
import * as v from "valibot";
import { amountsSchema } from "./amounts.ts";

const nameSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const nonNegativeSchema = v.pipe(v.number(), v.minValue(0));

/** Schema of {@link AdviceTerms}. */
export const adviceTermsSchema = v.object({
  /** Fixed time of one question, in milliseconds. */
  decisionMs: nonNegativeSchema,
  /** Time of one question for each runner that it names, in milliseconds. */
  perRunnerMs: nonNegativeSchema,
  /** How long a ticket holds, in milliseconds. */
  validMs: nonNegativeSchema,
});

/** How the advice service answers for a queue. */
export type AdviceTerms = v.InferOutput<typeof adviceTermsSchema>;

/** Schema of {@link JobQueue}. */
export const jobQueueSchema = v.object({
  name: nameSchema,
  /** Host name under which callers reach the queue. */
  host: v.string(),
  pathPrefix: v.pipe(v.string(), v.startsWith("/")),
  /** Pool whose runners run the queue's tasks. */
  pool: nameSchema,
  /** Whether callers need no key. */
  isPublic: v.boolean(),
  /** 0 comes first. */
  priority: nonNegativeSchema,
  /** Runs of one task that may end as failed before its job has failed. */
  maxAttempts: v.pipe(v.number(), v.integer(), v.minValue(1)),
  timeoutMs: v.pipe(v.number(), v.gtValue(0)),
  /** Multiple of its longest chain of work within which a job is in time. */
  stretch: nonNegativeSchema,
  /** Time that is added to the stretched chain, in milliseconds. */
  targetLatencyMs: nonNegativeSchema,
  advice: v.optional(adviceTermsSchema),
});

/** A queue of jobs. */
export type JobQueue = v.InferOutput<typeof jobQueueSchema>;

/** Schema of {@link RunnerPool}. */
export const runnerPoolSchema = v.object({
  name: nameSchema,
  /** Whether the VMs of the pool are switched off and cost nothing. */
  isStandby: v.boolean(),
  /** Whether runners refuse what does not fit. */
  guardsCapacity: v.boolean(),
});

/** A pool of runners. */
export type RunnerPool = v.InferOutput<typeof runnerPoolSchema>;

/** Schema of {@link JobTeam}. */
export const jobTeamSchema = v.object({
  name: nameSchema,
  keys: v.array(v.pipe(v.string(), v.minLength(1))),
  priority: nonNegativeSchema,
  /** Share when everything is in use. */
  weight: nonNegativeSchema,
  /** What may run at once over all runners; 0 means unlimited. */
  limit: amountsSchema,
});

/** A team that submits jobs. */
export type JobTeam = v.InferOutput<typeof jobTeamSchema>;

/** Schema of {@link Catalog}. */
export const catalogSchema = v.object({
  /** The highest version is in force. */
  version: v.pipe(v.number(), v.integer(), v.minValue(0)),
  queues: v.array(jobQueueSchema),
  pools: v.array(runnerPoolSchema),
  teams: v.array(jobTeamSchema),
  /** The text as the operator sent it, for reading it back. */
  source: v.string(),
});

/** Queues, pools and teams of one version. */
export type Catalog = v.InferOutput<typeof catalogSchema>;

/** The catalog before the first one is accepted. */
export const EMPTY_CATALOG: Catalog = {
  version: -1,
  queues: [],
  pools: [],
  teams: [],
  source: "",
};

/**
 * Finds what is wrong with a catalog beyond the types of its fields.
 *
 * @param catalog - The catalog.
 * @returns What is wrong, or undefined.
 */
export function findCatalogFault(catalog: Catalog): string | undefined {
  const pools = new Set(catalog.pools.map(({ name }) => name));
  const queueWithoutPool = catalog.queues.find(({ pool }) => !pools.has(pool));
  if (queueWithoutPool !== undefined) {
    return `queue ${queueWithoutPool.name} names pool ${queueWithoutPool.pool}, which is not there`;
  }
  const repeatedAddress = findRepeated(
    catalog.queues.map(({ host, pathPrefix }) => `${host}${pathPrefix}`),
  );
  if (repeatedAddress !== undefined) {
    return `two queues are at ${repeatedAddress}`;
  }
  const keysOfTeams = catalog.teams.flatMap(({ keys }) => [...new Set(keys)]);
  return findRepeated(keysOfTeams) === undefined
    ? undefined
    : "two teams share a key";
}

function findRepeated(values: readonly string[]): string | undefined {
  const seen = new Set<string>();
  return values.find((value) => seen.size === seen.add(value).size);
}
