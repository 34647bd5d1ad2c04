/** Index of a catalog's queues by name and by address. */
import type { Catalog, JobQueue } from "./catalog.ts";

/** The queues of one catalog; the first of several with one name counts. */
export interface QueueIndex {
  readonly byName: ReadonlyMap<string, JobQueue>;
  readonly byHost: ReadonlyMap<string, readonly JobQueue[]>;
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

function createIndex(queues: readonly JobQueue[]): QueueIndex {
  const byName = new Map<string, JobQueue>();
  const byHost = new Map<string, JobQueue[]>();
  for (const queue of queues) {
    if (!byName.has(queue.name)) {
      byName.set(queue.name, queue);
    }
    const others = byHost.get(queue.host) ?? [];
    byHost.set(queue.host, others);
    others.push(queue);
  }
  return { byName, byHost };
}
