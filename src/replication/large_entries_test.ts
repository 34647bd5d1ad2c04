import * as assert from "uvu/assert";
import { encodeRecord, scanRecords } from "../adapters/disk/record_codec.ts";
import type { Command } from "../domain/index.ts";
import { beforeEach, describe, FakeCluster, it } from "../testing/index.ts";
import { countSnapshotParts, createSnapshotPart } from "./snapshot_transfer.ts";
import { MAX_BATCH_BYTES, SNAPSHOT_INTERVAL_BYTES } from "./timing.ts";

const VOTERS = ["a", "b", "c"];
const SETTLE_MS = 4_000;
const CATALOG_BYTES = 400 * 1_024;
const CHANGE_COUNT = 80;
const MEBIBYTE = 1_024 * 1_024;
/** Parts of a snapshot are sent to small VMs, with a timeout of a second. */
const PART_LIMIT_BYTES = MEBIBYTE;

describe("log entries of hundreds of kilobytes", () => {
  let cluster: FakeCluster;
  let leaderId: string;

  beforeEach(async () => {
    cluster = new FakeCluster({ seed: 41, voterIds: VOTERS });
    await cluster.start();
    leaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
  });

  async function readLog(entryId: string): Promise<Uint8Array> {
    const log = await cluster.find(entryId).disk.read("log");
    return log ?? new Uint8Array();
  }

  async function replaceCatalogs(
    firstVersion: number,
    count = CHANGE_COUNT,
  ): Promise<void> {
    for (let at = 0; at < count; at += 1) {
      const proposed = await cluster.clock.runUntil(
        cluster.replica(leaderId).propose(
          createLargeCommand(firstVersion + at),
        ),
        SETTLE_MS,
      );
      assert.ok(proposed.isOk);
    }
    await cluster.clock.advance(SETTLE_MS);
  }

  // Guards against voters that run out of memory, and again at each start,
  // because the log was shortened only after a number of entries.
  it("are removed from the log once their size is due", async () => {
    await replaceCatalogs(1);
    for (const entryId of VOTERS) {
      const { length } = await readLog(entryId);
      assert.ok(length < 2 * SNAPSHOT_INTERVAL_BYTES, `${entryId}: ${length}`);
    }
    for (const entryId of VOTERS) {
      cluster.crash(entryId);
      assert.is(await cluster.startEntry(entryId), undefined);
    }
    await cluster.clock.advance(SETTLE_MS);
    for (const entryId of VOTERS) {
      const { scheduling } = cluster.replica(entryId).state;
      assert.is(scheduling.catalog.version, CHANGE_COUNT, entryId);
    }
  });

  it("reach a voter that was away for longer than the log lasts", async () => {
    const awayId = VOTERS.find((entryId) => entryId !== leaderId) ?? "";
    cluster.network.isolate(awayId);
    await replaceCatalogs(1);
    cluster.network.heal();
    await cluster.clock.advance(SETTLE_MS);
    const { scheduling } = cluster.replica(awayId).state;
    assert.is(scheduling.catalog.version, CHANGE_COUNT);
  });

  // Guards against one write, and one allocation, for all that waits.
  it("are written in batches of limited size", async () => {
    const count = 12;
    const proposals = Array.from(
      { length: count },
      (_, at) => cluster.replica(leaderId).propose(createLargeCommand(at + 1)),
    );
    await cluster.clock.runUntil(Promise.all(proposals), SETTLE_MS);
    for (const entryId of VOTERS) {
      const { records } = scanRecords(await readLog(entryId));
      for (const { offset, endOffset } of records) {
        assert.ok(endOffset - offset < MAX_BATCH_BYTES + 2 * CATALOG_BYTES);
      }
    }
  });
});

describe("a snapshot of large values", () => {
  // Guards against parts above the largest frame: a voter that needed such a
  // snapshot never caught up.
  it("is transferred in parts of limited size", () => {
    const text = "x".repeat(200 * 1_024);
    const valueCount = 100;
    const snapshot = {
      index: 1,
      term: 1,
      state: {
        revision: 0,
        resources: [],
        operations: [],
        records: [],
        assignments: [],
        claims: [],
        newestClaimAtMs: 0,
        membership: { voters: [], learners: [] },
        scheduling: Array.from({ length: valueCount }, () => ({
          type: "zonesOut" as const,
          zones: [text],
        })),
      },
    };
    let count = 0;
    for (let part = 0; part < countSnapshotParts(snapshot); part += 1) {
      const created = createSnapshotPart(snapshot, part);
      assert.ok(encodeRecord(created).length < PART_LIMIT_BYTES);
      count += created.items.length;
    }
    assert.is(count, valueCount);
  });
});

function createLargeCommand(version: number): Command {
  const source = "x".repeat(CATALOG_BYTES);
  const catalog = { version, queues: [], pools: [], teams: [], source };
  return {
    type: "scheduling",
    atMs: 0,
    operations: [{ type: "catalog", catalog }],
  };
}
