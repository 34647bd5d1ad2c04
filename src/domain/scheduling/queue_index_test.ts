import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { type Catalog, EMPTY_CATALOG, type JobQueue } from "./catalog.ts";
import { findQueueByAddress, indexQueues } from "./queue_index.ts";

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
    assert.is(indexQueues(first).byName.get("first")?.name, "first");
    assert.is(indexQueues(second).byName.get("first"), undefined);
    assert.is(indexQueues(second).byName.get("second")?.name, "second");
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
      assert.ok(indexQueues(catalog).byName.get(`q${index}`));
      assert.ok(findQueueByAddress(catalog, `h${index}`, "/q/1"));
    }
    assert.is(readCount, firstReadCount);
  });
});
