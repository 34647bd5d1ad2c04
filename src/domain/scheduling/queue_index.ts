/** Index of a catalog's queues by address and by name. */
import type { Catalog, JobQueue } from "./catalog.ts";

/** What a job keeps of its queue, which may since have been removed. */
export interface QueueOfJob {
  /** Name of the queue; other queues may have it too. */
  readonly queue: string;
  /**
   * Formatted address of the queue; undefined for a job that an earlier release
   * accepted.
   */
  readonly queueAddress: string | undefined;
  /** Pool of the queue when the job was accepted. */
  readonly pool: string;
}

/** The queues of one catalog. */
export interface QueueIndex {
  /** Queues by formatted address. */
  readonly byAddress: ReadonlyMap<string, JobQueue>;
  readonly byHost: ReadonlyMap<string, readonly JobQueue[]>;
  /** Queues by name, in the order of the catalog. */
  readonly byName: ReadonlyMap<string, readonly JobQueue[]>;
}

const indexes = new WeakMap<Catalog, QueueIndex>();

/**
 * Finds the index of a catalog, and builds it on the first call.
 *
 * @param catalog - A catalog, which is replaced as a whole.
 */
export function indexQueues(catalog: Catalog): QueueIndex {
  const index = indexes.get(catalog) ?? createIndex(catalog.queues);
  indexes.set(catalog, index);
  return index;
}

/**
 * Formats the address of a queue, which no other queue of a catalog has.
 *
 * @param queue - The queue.
 * @returns Host and path prefix.
 */
export function formatQueueAddress(
  { host, pathPrefix }: Pick<JobQueue, "host" | "pathPrefix">,
): string {
  return `${host}${pathPrefix}`;
}

/**
 * Finds the queue of an address: the one with the longest matching prefix.
 *
 * @param catalog - The catalog.
 * @param host - Host name of the address.
 * @param path - Path of the address.
 * @returns The queue, or undefined when none matches.
 */
export function findQueueByAddress(
  catalog: Catalog,
  host: string,
  path: string,
): JobQueue | undefined {
  let found: JobQueue | undefined;
  for (const queue of indexQueues(catalog).byHost.get(host) ?? []) {
    const isLonger = queue.pathPrefix.length > (found?.pathPrefix.length ?? -1);
    if (isLonger && path.startsWith(queue.pathPrefix)) {
      found = queue;
    }
  }
  return found;
}

/**
 * Lists the queues that an operator may mean.
 *
 * @param catalog - The catalog.
 * @param reference - Name or formatted address of a queue.
 * @returns The queue with that address, or else all queues of that name.
 */
export function listQueuesByReference(
  catalog: Catalog,
  reference: string,
): readonly JobQueue[] {
  const { byAddress, byName } = indexQueues(catalog);
  const addressed = byAddress.get(reference);
  return addressed === undefined ? byName.get(reference) ?? [] : [addressed];
}

/**
 * Finds the queue of a job. Of several queues with the name that a job without
 * an address keeps, it is the first one with the job's pool.
 *
 * @param catalog - The catalog.
 * @param job - The job.
 * @returns The queue, or undefined if the catalog no longer has it.
 */
export function findQueueOfJob(
  catalog: Catalog,
  { pool, queue, queueAddress }: QueueOfJob,
): JobQueue | undefined {
  const { byAddress, byName } = indexQueues(catalog);
  if (queueAddress !== undefined) {
    return byAddress.get(queueAddress);
  }
  const named = byName.get(queue) ?? [];
  return named.find((other) => other.pool === pool) ?? named[0];
}

/**
 * Finds the pool whose runners run the tasks of a job now.
 *
 * @param catalog - The catalog.
 * @param job - The job.
 * @returns Name of the pool; the one of the job's acceptance if its queue has
 * been removed.
 */
export function findPoolOfJob(catalog: Catalog, job: QueueOfJob): string {
  return findQueueOfJob(catalog, job)?.pool ?? job.pool;
}

/**
 * Chooses how a queue is shown to operators.
 *
 * @param catalog - The catalog.
 * @param queue - What a job keeps of the queue.
 * @returns Its name, or its address if another queue has that name as well.
 */
export function findQueueLabel(
  catalog: Catalog,
  { queue, queueAddress }: Omit<QueueOfJob, "pool">,
): string {
  const isRepeated = (indexQueues(catalog).byName.get(queue)?.length ?? 0) > 1;
  return isRepeated ? queueAddress ?? queue : queue;
}

function createIndex(queues: readonly JobQueue[]): QueueIndex {
  const byAddress = new Map<string, JobQueue>();
  const byHost = new Map<string, JobQueue[]>();
  const byName = new Map<string, JobQueue[]>();
  for (const queue of queues) {
    byAddress.set(formatQueueAddress(queue), queue);
    addTo(byHost, queue.host, queue);
    addTo(byName, queue.name, queue);
  }
  return { byAddress, byHost, byName };
}

function addTo(
  groups: Map<string, JobQueue[]>,
  key: string,
  queue: JobQueue,
): void {
  const group = groups.get(key) ?? [];
  groups.set(key, group);
  group.push(queue);
}
