import { createServer, type Server } from "node:http";
import * as assert from "uvu/assert";
import { afterEach, beforeEach, describe, it } from "../testing/describe.ts";
import { ApiClient } from "./api/index.ts";
import { waitForRevision } from "./wait_for_revision.ts";

const REVISION = 4;
const LONG_DEADLINE_MS = 60_000;

interface ListedEntry {
  readonly entryId: string;
  readonly revision?: number;
  readonly leaseLeftMs: number;
}

const BEHIND = { entryId: "entry-2", revision: 3, leaseLeftMs: 900 };
const CURRENT = { entryId: "entry-1", revision: REVISION, leaseLeftMs: 900 };
const UNKNOWN_REVISION = { entryId: "entry-2", leaseLeftMs: 900 };

describe("waitForRevision", () => {
  let server: Server;
  let client: ApiClient;
  /** Responses of the entry, in order; the last one is repeated. */
  let lists: ListedEntry[][];

  beforeEach(async () => {
    server = createServer((_request, response) => {
      const entries = lists.length > 1 ? lists.shift() : lists[0];
      const body = entries?.map((entry) => ({ role: "voter", ...entry }));
      response.end(
        JSON.stringify({
          leaderId: "entry-1",
          revision: REVISION,
          entries: body,
        }),
      );
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const address = server.address();
    const port = typeof address === "object" ? address?.port : undefined;
    client = new ApiClient({ url: `http://127.0.0.1:${port}`, key: "k" });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  describe("when the deadline passes", () => {
    for (const straggler of [BEHIND, UNKNOWN_REVISION]) {
      const { revision } = { revision: undefined, ...straggler };
      it(`names an entry at revision ${revision} that still has a lease`, async () => {
        lists = [[CURRENT, straggler]];
        const waited = await waitForRevision({
          client,
          revision: REVISION,
          deadlineMs: 0,
        });
        assert.ok(waited.isErr);
        assert.is(waited.error.kind, "stillRunning");
        assert.match(waited.error.message, /not in force at entry-2$/);
        assert.equal(waited.error.detail, {
          revision: REVISION,
          stragglers: ["entry-2"],
        });
      });
    }
  });

  describe("waits until each entry", () => {
    const ends: [string, ListedEntry, string[]][] = [
      ["has the revision", { ...BEHIND, revision: REVISION }, []],
      ["has no lease", { ...BEHIND, leaseLeftMs: 0 }, ["entry-2"]],
    ];
    for (const [title, last, lapsed] of ends) {
      it(title, async () => {
        lists = [[CURRENT, BEHIND], [CURRENT, last]];
        const waited = await waitForRevision({
          client,
          revision: REVISION,
          deadlineMs: LONG_DEADLINE_MS,
        });
        assert.ok(waited.isOk);
        assert.equal(waited.value.lapsed, lapsed);
        assert.is(lists.length, 1);
      });
    }
  });
});
