import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { type Catalog, EMPTY_CATALOG, type JobQueue } from "./catalog.ts";
import {
  findPoolOfJob,
  findQueueByAddress,
  findQueueLabel,
  findQueueOfJob,
  indexQueues,
  listQueuesByReference,
} from "./queue_index.ts";

const QUEUE_COUNT = 250;
const LOOKUP_COUNT = 100;

function createQueue(fields: Partial<JobQueue>): JobQueue {
  return {
    name: "q",
    host: "h",
    pathPrefix: "/q/",
    pool: "bay",
    isPublic: false,
    priority: 0,
    maxAttempts: 2,
    timeoutMs: 3_000,
    stretch: 1.6,
    targetLatencyMs: 600,
    ...fields,
  };
}

function createCatalog(queues: JobQueue[]): Catalog {
  return { ...EMPTY_CATALOG, version: 1, queues };
}

describe("queue index", () => {
  it("finds the queue with the longest prefix of the host", () => {
    const catalog = createCatalog([
      createQueue({ name: "outer", pathPrefix: "/a/" }),
      createQueue({ name: "inner", pathPrefix: "/a/b/" }),
      createQueue({ name: "other", pathPrefix: "/a/b/c/", host: "other" }),
    ]);
    const find = (host: string, path: string) =>
      findQueueByAddress(catalog, host, path)?.name;
    assert.is(find("h", "/a/b/c/1"), "inner");
    assert.is(find("h", "/a/c"), "outer");
    assert.is(find("other", "/a/b/c/1"), "other");
    assert.is(find("h", "/b/"), undefined);
    assert.is(find("unknown", "/a/"), undefined);
  });

  it("finds queues of a new catalog", () => {
    const first = createCatalog([createQueue({ name: "first" })]);
    const second = createCatalog([createQueue({ name: "second" })]);
    assert.equal(listQueuesByReference(first, "first"), first.queues);
    assert.equal(listQueuesByReference(second, "first"), []);
    assert.equal(listQueuesByReference(second, "second"), second.queues);
  });

  // Guards against calls and ends of runs whose cost grows with the catalog.
  it("reads the queues once for all lookups", () => {
    let readCount = 0;
    const catalog = createCatalog(
      Array.from({ length: QUEUE_COUNT }, (_, index) => ({
        ...createQueue({ host: `h${index}` }),
        get name() {
          readCount += 1;
          return `q${index}`;
        },
      })),
    );
    indexQueues(catalog);
    const firstReadCount = readCount;
    for (let index = 0; index < LOOKUP_COUNT; index += 1) {
      assert.is(listQueuesByReference(catalog, `q${index}`).length, 1);
      assert.ok(findQueueByAddress(catalog, `h${index}`, "/q/1"));
    }
    assert.is(readCount, firstReadCount);
  });

  describe("of queues that share a name", () => {
    const first = createQueue({ pathPrefix: "/a/" });
    const second = createQueue({ pathPrefix: "/b/", pool: "desk" });
    const catalog = createCatalog([first, second]);
    const job = { queue: "q", queueAddress: "h/b/", pool: "desk" };

    it("finds the one whose address the job keeps", () => {
      assert.is(findQueueOfJob(catalog, job), second);
      const reordered = createCatalog([second, first]);
      assert.is(findQueueOfJob(reordered, job), second);
    });

    it("finds none for a job whose own queue was removed", () => {
      const reduced = createCatalog([first]);
      assert.is(findQueueOfJob(reduced, job), undefined);
      assert.is(findPoolOfJob(reduced, job), "desk");
    });

    it("follows a queue whose pool and name change", () => {
      const moved = createQueue({
        name: "new",
        pathPrefix: "/b/",
        pool: "bay-2",
      });
      assert.is(findPoolOfJob(createCatalog([first, moved]), job), "bay-2");
    });

    it("finds the one with its pool for a job without an address", () => {
      const earlier = { ...job, queueAddress: undefined };
      assert.is(findQueueOfJob(catalog, earlier), second);
      const unknown = { ...earlier, pool: "gone" };
      assert.is(findQueueOfJob(catalog, unknown), first);
    });

    it("lists both for the name, and one for its address", () => {
      assert.equal(listQueuesByReference(catalog, "q"), [first, second]);
      assert.equal(listQueuesByReference(catalog, "h/b/"), [second]);
    });

    it("shows them by address, and others by name", () => {
      assert.is(findQueueLabel(catalog, job), "h/b/");
      assert.is(findQueueLabel(createCatalog([second]), job), "q");
    });
  });
});
