/** An in-memory file system that loses unsynced data in a crash. */
import type { FileSystem, OpenFile, Random } from "../ports/index.ts";

/** An operation on a file or on the names of a folder. */
export type DiskOperation =
  | "open"
  | "write"
  | "sync"
  | "truncate"
  | "close"
  | "rename"
  | "remove"
  | "syncFolder";

/** What a full disk does besides refusing to store all bytes of a write. */
export interface FullDisk {
  /** Share of the bytes of a refused write that is written, in percent. */
  readonly writtenPercent: number;
  /** Operations that fail as well; a failed `open` only creates no file. */
  readonly refused: ReadonlySet<DiskOperation>;
}

/** A change of a file's content that no sync has made durable. */
type UnsyncedChange =
  | { readonly bytes: Uint8Array; readonly position: number }
  | { readonly sizeBytes: number };

/** A change of a folder's names that no sync has made durable. */
type NameChange = (names: Map<string, FakeFile>) => void;

interface FakeFile {
  /** Content that a process reads, including unsynced writes. */
  content: Uint8Array;
  /** Content that survives a crash. */
  synced: Uint8Array;
  /** Changes of the content since the last sync, in order. */
  unsynced: UnsyncedChange[];
}

const PERCENT = 100;

/** A file system whose disk can fill up, hang, fail a sync, or crash. */
export class FakeFileSystem implements FileSystem {
  #files = new Map<string, FakeFile>();
  #syncedNames = new Map<string, FakeFile>();
  /** Changes of the names since the last sync of the folder, in order. */
  #unsyncedNames: NameChange[] = [];
  /** Makes every sync fail with EIO. */
  failsSync = false;
  /** Makes every write fail with ENOSPC. */
  isFull = false;
  /** What the disk does while it is full. */
  full: FullDisk = { writtenPercent: 0, refused: new Set() };
  /** Awaited before each operation; tests use it for a slow or hanging disk. */
  beforeOperation:
    | ((operation: DiskOperation, name: string) => Promise<void>)
    | undefined;
  /** Number of syncs so far; tests use it to measure the cost of an append. */
  syncCount = 0;
  /** Awaited before each sync; tests use it to slow syncs down. */
  beforeSync: (() => Promise<void>) | undefined;
  /**
   * Number of crashes and disk replacements.
   *
   * Operations on a file that was opened before the latest one never complete.
   */
  crashCount = 0;

  read(name: string): Promise<Uint8Array | undefined> {
    const content = this.#files.get(name)?.content;
    return Promise.resolve(content === undefined ? undefined : content.slice());
  }

  async open(name: string): Promise<OpenFile> {
    if (this.beforeOperation !== undefined) {
      await this.delay("open", name);
    }
    const known = this.#files.get(name);
    if (known === undefined) {
      this.requireSpace("open");
    }
    const file = known ??
      { content: new Uint8Array(), synced: new Uint8Array(), unsynced: [] };
    if (known === undefined) {
      this.#changeNames((names) => names.set(name, file));
    }
    return new FakeOpenFile(name, file, this);
  }

  async rename(from: string, to: string): Promise<void> {
    if (this.beforeOperation !== undefined) {
      await this.delay("rename", to);
    }
    this.requireSpace("rename");
    const file = this.#files.get(from);
    if (file === undefined) {
      throw new Error(`ENOENT: ${from}`);
    }
    this.#changeNames((names) => {
      names.delete(from);
      names.set(to, file);
    });
  }

  async remove(name: string): Promise<void> {
    if (this.beforeOperation !== undefined) {
      await this.delay("remove", name);
    }
    this.requireSpace("remove");
    if (this.#files.has(name)) {
      this.#changeNames((names) => names.delete(name));
    }
  }

  async syncFolder(): Promise<void> {
    if (this.beforeOperation !== undefined) {
      await this.delay("syncFolder", ".");
    }
    this.requireSpace("syncFolder");
    this.#syncedNames = new Map(this.#files);
    this.#unsyncedNames = [];
  }

  /**
   * Waits as long as the disk delays an operation.
   *
   * @param operation - The operation.
   * @param name - Name of the file.
   * @returns Nothing at once unless `beforeOperation` is set.
   */
  delay(operation: DiskOperation, name: string): Promise<void> | undefined {
    const { crashCount } = this;
    return this.beforeOperation?.(operation, name).then(() =>
      crashCount === this.crashCount ? undefined : never()
    );
  }

  /**
   * Refuses an operation on a full disk.
   *
   * @param operation - The operation.
   * @throws Error when the disk refuses the operation.
   */
  requireSpace(operation: DiskOperation): void {
    if (this.isFull && this.full.refused.has(operation)) {
      throw createNoSpaceError();
    }
  }

  #changeNames(change: NameChange): void {
    change(this.#files);
    this.#unsyncedNames.push(change);
  }

  /**
   * Simulates a crash, which loses unsynced data.
   *
   * @param keptBytes - Number of unsynced appended bytes in each file that
   * reached the disk anyway.
   */
  crash(keptBytes = 0): void {
    this.crashCount += 1;
    this.#files = new Map(this.#syncedNames);
    for (const file of this.#files.values()) {
      const torn = file.content.slice(0, file.synced.length + keptBytes);
      const isAppend = file.content.length > file.synced.length;
      file.content = isAppend && keptBytes > 0 ? torn : file.synced.slice();
      file.synced = file.content.slice();
      file.unsynced = [];
    }
    this.#unsyncedNames = [];
  }

  /**
   * Simulates a loss of power: each unsynced write is kept, lost or torn, and
   * each unsynced name is kept or lost, independently of the others.
   *
   * @param random - Draws what is kept.
   */
  losePower(random: Random): void {
    this.crashCount += 1;
    const names = new Map(this.#syncedNames);
    for (const change of this.#unsyncedNames) {
      if (random.nextInt(2) === 0) {
        change(names);
      }
    }
    for (const file of new Set(names.values())) {
      file.content = file.synced.slice();
      for (const change of file.unsynced) {
        applyTorn(file, change, random);
      }
      file.synced = file.content.slice();
      file.unsynced = [];
    }
    this.#files = new Map(names);
    this.#syncedNames = names;
    this.#unsyncedNames = [];
  }

  /** Loses all files, as when the disk is replaced. */
  replaceDisk(): void {
    this.crashCount += 1;
    this.#files = new Map();
    this.#syncedNames = new Map();
    this.#unsyncedNames = [];
  }

  /**
   * Creates the file system of one process.
   *
   * @returns A file system whose operations never complete after the next
   * crash.
   */
  mount(): FileSystem {
    return new MountedFiles(this);
  }

  /** Flips the bits of one byte, as a failing disk may do. */
  damage(name: string, offset: number): void {
    const file = this.#files.get(name);
    if (file === undefined || offset >= file.content.length) {
      throw new Error(
        `file ${name} does not exist or has no byte at offset ${offset}`,
      );
    }
    file.content[offset] = (file.content[offset] ?? 0) ^ 0xff;
  }
}

class FakeOpenFile implements OpenFile {
  readonly #name: string;
  readonly #file: FakeFile;
  readonly #disk: FakeFileSystem;
  readonly #crashCount: number;

  constructor(name: string, file: FakeFile, disk: FakeFileSystem) {
    this.#name = name;
    this.#file = file;
    this.#disk = disk;
    this.#crashCount = disk.crashCount;
  }

  async write(bytes: Uint8Array, position: number): Promise<void> {
    if (this.#mustWait()) {
      await this.#wait("write");
    }
    if (!this.#disk.isFull) {
      return this.#apply({ bytes: bytes.slice(), position });
    }
    const { writtenPercent } = this.#disk.full;
    const writtenBytes = Math.floor(bytes.length * writtenPercent / PERCENT);
    this.#apply({ bytes: bytes.slice(0, writtenBytes), position });
    throw createNoSpaceError();
  }

  async sync(): Promise<void> {
    this.#disk.syncCount += 1;
    if (this.#mustWait()) {
      await this.#wait("sync");
    }
    await this.#disk.beforeSync?.();
    if (this.#isGone()) {
      return await never();
    }
    if (this.#disk.failsSync) {
      throw new Error("EIO: i/o error");
    }
    this.#disk.requireSpace("sync");
    this.#file.synced = this.#file.content.slice();
    this.#file.unsynced = [];
  }

  async truncate(sizeBytes: number): Promise<void> {
    if (this.#mustWait()) {
      await this.#wait("truncate");
    }
    this.#disk.requireSpace("truncate");
    this.#apply({ sizeBytes });
  }

  async close(): Promise<void> {
    if (this.#mustWait()) {
      await this.#wait("close");
    }
    this.#disk.requireSpace("close");
  }

  #apply(change: UnsyncedChange): void {
    applyChange(this.#file, change);
    this.#file.unsynced.push(change);
  }

  #mustWait(): boolean {
    return this.#isGone() || this.#disk.beforeOperation !== undefined;
  }

  async #wait(operation: DiskOperation): Promise<void> {
    if (this.#isGone()) {
      return await never();
    }
    await this.#disk.delay(operation, this.#name);
  }

  #isGone(): boolean {
    return this.#disk.crashCount !== this.#crashCount;
  }
}

function applyChange(file: FakeFile, change: UnsyncedChange): void {
  if ("sizeBytes" in change) {
    file.content = file.content.slice(0, change.sizeBytes);
    return;
  }
  const { bytes, position } = change;
  if (bytes.length > 0) {
    const size = Math.max(file.content.length, position + bytes.length);
    const content = new Uint8Array(size);
    content.set(file.content);
    content.set(bytes, position);
    file.content = content;
  }
}

// Keeps, loses or tears one change.
function applyTorn(
  file: FakeFile,
  change: UnsyncedChange,
  random: Random,
): void {
  const fate = random.nextInt(3);
  if (fate === 0) {
    applyChange(file, change);
  } else if (fate === 1 && "bytes" in change) {
    const bytes = change.bytes.slice(
      0,
      random.nextInt(change.bytes.length + 1),
    );
    applyChange(file, { ...change, bytes });
  }
}

function createNoSpaceError(): Error {
  return new Error("ENOSPC: no space left on device");
}

class MountedFiles implements FileSystem {
  readonly #disk: FakeFileSystem;
  readonly #crashCount: number;

  constructor(disk: FakeFileSystem) {
    this.#disk = disk;
    this.#crashCount = disk.crashCount;
  }

  read(name: string): Promise<Uint8Array | undefined> {
    return this.#isGone() ? never() : this.#disk.read(name);
  }

  open(name: string): Promise<OpenFile> {
    return this.#isGone() ? never() : this.#disk.open(name);
  }

  rename(from: string, to: string): Promise<void> {
    return this.#isGone() ? never() : this.#disk.rename(from, to);
  }

  remove(name: string): Promise<void> {
    return this.#isGone() ? never() : this.#disk.remove(name);
  }

  syncFolder(): Promise<void> {
    return this.#isGone() ? never() : this.#disk.syncFolder();
  }

  #isGone(): boolean {
    return this.#disk.crashCount !== this.#crashCount;
  }
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}
