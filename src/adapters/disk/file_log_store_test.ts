import * as assert from "uvu/assert";
import { SeededRandom } from "../random/index.ts";
import type { Failure } from "../../domain/index.ts";
import type { LogEntry, StoredLog, StoredSnapshot } from "../../ports/index.ts";
import {
  beforeEach,
  describe,
  type DiskOperation,
  FakeFileSystem,
  FakeLogger,
  it,
} from "../../testing/index.ts";
import { FleetState } from "../../domain/index.ts";
import { FileLogStore } from "./file_log_store.ts";
import { HEADER_BYTES } from "./record_codec.ts";

function createEntry(index: number, term = 1): LogEntry {
  const leaderId = `${index}.${term}`;
  return { index, term, command: { type: "leader", leaderId } };
}

function createSnapshot(index: number, term = 1): StoredSnapshot {
  return { index, term, state: new FleetState().toSnapshot() };
}

function listPositions(log: StoredLog): string[] {
  return log.entries.map(({ index, term }) => `${index}.${term}`);
}

describe("file log store", () => {
  let disk: FakeFileSystem;
  let logger: FakeLogger;
  let syncFailures: Failure[];

  beforeEach(() => {
    disk = new FakeFileSystem();
    logger = new FakeLogger();
    syncFailures = [];
  });

  function createStore(): FileLogStore {
    return new FileLogStore({
      files: disk.mount(),
      logger,
      random: new SeededRandom(disk.crashCount),
      onSyncFailure: (failure) => syncFailures.push(failure),
    });
  }

  async function open(): Promise<FileLogStore> {
    const store = createStore();
    const loaded = await store.load();
    assert.ok(loaded.isOk, JSON.stringify(loaded));
    return store;
  }

  async function reload(): Promise<StoredLog> {
    const loaded = await createStore().load();
    if (loaded.isErr) {
      throw new Error(JSON.stringify(loaded.error));
    }
    return loaded.value;
  }

  async function reloadFailure(): Promise<Failure> {
    const loaded = await createStore().load();
    if (loaded.isOk) {
      throw new Error("the damage was not detected");
    }
    return loaded.error;
  }

  describe("after a crash", () => {
    it("keeps acknowledged entries and votes", async () => {
      const store = await open();
      await store.append([createEntry(1), createEntry(2)]);
      await store.append([createEntry(3)]);
      const vote = { term: 4, votedFor: "b", storeId: "store" };
      await store.saveVote(vote);
      disk.crash();
      const log = await reload();
      assert.equal(listPositions(log), ["1.1", "2.1", "3.1"]);
      assert.equal(log.vote, vote);
    });

    it("keeps the store id, and draws a new one for an empty folder", async () => {
      await open();
      const first = await reload();
      disk.crash();
      assert.is((await reload()).vote.storeId, first.vote.storeId);
      disk.replaceDisk();
      assert.is.not((await reload()).vote.storeId, first.vote.storeId);
    });

    for (const keptBytes of [1, HEADER_BYTES, HEADER_BYTES + 5]) {
      it(`cuts off a last record of which only ${keptBytes} bytes were written`, async () => {
        const store = await open();
        await store.append([createEntry(1)]);
        disk.beforeSync = () => new Promise(() => undefined);
        void store.append([createEntry(2)]);
        await Promise.resolve();
        disk.beforeSync = undefined;
        disk.crash(keptBytes);
        assert.equal(listPositions(await reload()), ["1.1"]);
        const line = logger.lines.find(({ level }) => level === "warn");
        assert.is(line?.message, "cut off a torn last record");
        assert.is(line?.fields["cutBytes"], keptBytes);
        const again = await open();
        await again.append([createEntry(2, 2)]);
        disk.crash();
        assert.equal(listPositions(await reload()), ["1.1", "2.2"]);
      });
    }

    // Both entries of the first record were synced and acknowledged. A crash at
    // any point of the replacement must keep the entry that does not conflict.
    for (let syncs = 0; syncs <= 2; syncs += 1) {
      it(`keeps the start of a record when replacing its tail stops at sync ${syncs}`, async () => {
        const store = await open();
        await store.append([createEntry(1), createEntry(2)]);
        let remainingSyncs = syncs;
        disk.beforeSync = () =>
          remainingSyncs-- > 0
            ? Promise.resolve()
            : new Promise(() => undefined);
        void store.append([createEntry(2, 2)]);
        for (let turn = 0; turn < 50; turn += 1) {
          await Promise.resolve();
        }
        disk.beforeSync = undefined;
        disk.crash();
        assert.is(listPositions(await reload())[0], "1.1");
      });
    }
  });

  describe("a damaged disk", () => {
    const damages = [
      { title: "header", offset: 4 },
      { title: "payload", offset: HEADER_BYTES + 2 },
    ];
    for (const { title, offset } of damages) {
      it(`refuses to start with a damaged ${title} before the end`, async () => {
        const store = await open();
        await store.append([createEntry(1)]);
        await store.append([createEntry(2)]);
        disk.damage("log", offset);
        const failure = await reloadFailure();
        assert.is(failure.kind, "diskDamaged");
        assert.equal(failure.detail, { file: "log", offset: 0 });
      });
    }

    for (const name of ["vote", "snapshot"]) {
      it(`refuses to start with a damaged ${name}`, async () => {
        const store = await open();
        await store.append([createEntry(1)]);
        await store.saveSnapshot(createSnapshot(1));
        disk.damage(name, HEADER_BYTES + 1);
        const failure = await reloadFailure();
        assert.equal(failure.detail, { file: name, offset: 0 });
      });
    }

    for (const name of ["log", "snapshot"]) {
      it(`refuses to start without its ${name}`, async () => {
        const store = await open();
        await store.append([createEntry(1), createEntry(2)]);
        await store.saveSnapshot(createSnapshot(1));
        await disk.remove(name);
        const failure = await reloadFailure();
        assert.is(failure.kind, "diskDamaged");
      });
    }
  });

  describe("a full disk", () => {
    const writes = [
      {
        title: "an append",
        write: (store: FileLogStore) => store.append([createEntry(3)]),
      },
      {
        title: "a replaced tail",
        write: (store: FileLogStore) => store.append([createEntry(2, 2)]),
      },
      {
        title: "a vote",
        write: (store: FileLogStore) =>
          store.saveVote({ term: 9, votedFor: "c", storeId: "store" }),
      },
      {
        title: "a snapshot",
        write: (store: FileLogStore) => store.saveSnapshot(createSnapshot(2)),
      },
    ];
    for (const { title, write } of writes) {
      it(`rejects ${title}, loses nothing, and recovers once there is space`, async () => {
        const store = await open();
        await store.append([createEntry(1), createEntry(2)]);
        disk.isFull = true;
        const refused = await write(store);
        assert.ok(refused.isErr && refused.error.kind === "readOnly");
        disk.isFull = false;
        const appended = await store.append([createEntry(3, 3)]);
        assert.ok(appended.isOk);
        disk.crash();
        const log = await reload();
        assert.equal(listPositions(log), ["1.1", "2.1", "3.3"]);
        assert.is(log.vote.term, 0);
        assert.equal(syncFailures, []);
      });
    }
  });

  // Guards against a store that throws instead of returning a failure, which
  // ended the tasks of the replica and left its proposals without an answer.
  describe("a full disk that refuses more than writes", () => {
    const REFUSED: readonly DiskOperation[] = [
      "open",
      "truncate",
      "rename",
      "remove",
      "close",
    ];
    const writes = [
      {
        title: "an append",
        write: (store: FileLogStore) => store.append([createEntry(3)]),
      },
      {
        title: "a replaced tail",
        write: (store: FileLogStore) => store.append([createEntry(2, 2)]),
      },
      {
        title: "a vote",
        write: (store: FileLogStore) =>
          store.saveVote({ term: 9, votedFor: "c", storeId: "store" }),
      },
      {
        title: "a snapshot",
        write: (store: FileLogStore) => store.saveSnapshot(createSnapshot(2)),
      },
    ];
    for (const refused of REFUSED) {
      for (const { title, write } of writes) {
        it(`returns the failure of ${title} when it also refuses ${refused}`, async () => {
          const store = await open();
          await store.append([createEntry(1), createEntry(2)]);
          disk.full = { writtenPercent: 60, refused: new Set([refused]) };
          disk.isFull = true;
          const failed = await write(store);
          assert.ok(failed.isErr && failed.error.kind === "readOnly");
          disk.isFull = false;
          const appended = await store.append([createEntry(3, 3)]);
          assert.ok(appended.isOk);
          disk.crash();
          const log = await reload();
          assert.equal(listPositions(log), ["1.1", "2.1", "3.3"]);
        });
      }
    }

    it("returns the failure to open the log after a snapshot", async () => {
      const store = await open();
      await store.append([createEntry(1)]);
      await store.saveSnapshot(createSnapshot(1));
      disk.beforeOperation = (operation) =>
        operation === "open"
          ? Promise.reject(new Error("ENOSPC"))
          : Promise.resolve();
      const failed = await store.append([createEntry(2)]);
      assert.ok(failed.isErr && failed.error.kind === "readOnly");
      disk.beforeOperation = undefined;
      assert.ok((await store.append([createEntry(2)])).isOk);
      disk.crash();
      assert.equal(listPositions(await reload()), ["2.1"]);
    });

    // Guards against records that went to the replaced file, which no name
    // leads to, after closing that file had failed.
    it("appends to the new log although the replaced one was not closed", async () => {
      const store = await open();
      await store.append([createEntry(1), createEntry(2)]);
      disk.beforeOperation = (operation, name) =>
        operation === "close" && name === "log"
          ? Promise.reject(new Error("EIO"))
          : Promise.resolve();
      assert.ok((await store.saveSnapshot(createSnapshot(1))).isOk);
      disk.beforeOperation = undefined;
      assert.ok((await store.append([createEntry(3)])).isOk);
      disk.crash();
      assert.equal(listPositions(await reload()), ["2.1", "3.1"]);
    });

    for (const entryCount of [1, 9]) {
      it(`keeps later records over the rest of a partial one, loss of power after ${entryCount}`, async () => {
        for (let seed = 0; seed < 50; seed += 1) {
          disk = new FakeFileSystem();
          const store = await open();
          await store.append([createEntry(1)]);
          disk.full = { writtenPercent: 90, refused: new Set(["truncate"]) };
          disk.isFull = true;
          const refused = Array.from(
            { length: 5 },
            (_, at) => createEntry(at + 2),
          );
          assert.ok((await store.append(refused)).isErr);
          disk.isFull = false;
          const expected = ["1.1"];
          for (let index = 2; index < entryCount + 2; index += 1) {
            assert.ok((await store.append([createEntry(index, 2)])).isOk);
            expected.push(`${index}.2`);
          }
          disk.losePower(new SeededRandom(seed));
          assert.equal(listPositions(await reload()), expected);
        }
      });
    }
  });

  describe("a failed sync", () => {
    it("is reported once and not retried", async () => {
      const store = await open();
      disk.failsSync = true;
      const syncsBefore = disk.syncCount;
      const refused = await store.append([createEntry(1)]);
      assert.ok(refused.isErr && refused.error.kind === "internal");
      assert.is(syncFailures.length, 1);
      assert.is(disk.syncCount, syncsBefore + 1);
    });
  });

  describe("a snapshot", () => {
    it("drops the entries up to its index", async () => {
      const store = await open();
      await store.append([createEntry(1), createEntry(2), createEntry(3)]);
      await store.saveSnapshot(createSnapshot(2));
      disk.crash();
      const log = await reload();
      assert.is(log.snapshot?.index, 2);
      assert.equal(listPositions(log), ["3.1"]);
    });

    // A save syncs the new snapshot file first, then the shortened log file.
    const interruptions = [
      { syncs: 0, term: 1, snapshotIndex: 1, left: ["2.1", "3.1"] },
      { syncs: 1, term: 1, snapshotIndex: 2, left: ["3.1"] },
      { syncs: 2, term: 1, snapshotIndex: 2, left: ["3.1"] },
      // The snapshot is from a newer leader and contradicts the older entries.
      { syncs: 1, term: 5, snapshotIndex: 2, left: [] },
    ];
    for (const { syncs, term, snapshotIndex, left } of interruptions) {
      it(`is consistent when a save of term ${term} stops at sync ${syncs}`, async () => {
        const store = await open();
        await store.append([createEntry(1), createEntry(2), createEntry(3)]);
        await store.saveSnapshot(createSnapshot(1));
        let remainingSyncs = syncs;
        disk.beforeSync = () =>
          remainingSyncs-- > 0
            ? Promise.resolve()
            : new Promise(() => undefined);
        void store.saveSnapshot(createSnapshot(2, term));
        for (let turn = 0; turn < 100; turn += 1) {
          await Promise.resolve();
        }
        disk.beforeSync = undefined;
        disk.crash();
        const log = await reload();
        assert.is(log.snapshot?.index, snapshotIndex);
        assert.equal(listPositions(log), left);
      });
    }
  });
});
