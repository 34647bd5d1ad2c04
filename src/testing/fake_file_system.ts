/** An in-memory file system that loses unsynced data in a crash. */
import type { FileSystem, OpenFile } from "../ports/index.ts";

interface FakeFile {
  /** Content that a process reads, including unsynced writes. */
  content: Uint8Array;
  /** Content that survives a crash. */
  synced: Uint8Array;
}

/** A file system whose disk can fill up, fail a sync, or crash. */
export class FakeFileSystem implements FileSystem {
  #files = new Map<string, FakeFile>();
  #syncedNames = new Map<string, FakeFile>();
  /** Makes every sync fail with EIO. */
  failsSync = false;
  /** Makes every write fail with ENOSPC. */
  isFull = false;
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

  open(name: string): Promise<OpenFile> {
    const known = this.#files.get(name);
    const file = known ??
      { content: new Uint8Array(), synced: new Uint8Array() };
    this.#files.set(name, file);
    return Promise.resolve(new FakeOpenFile(file, this));
  }

  rename(from: string, to: string): Promise<void> {
    const file = this.#files.get(from);
    if (file === undefined) {
      return Promise.reject(new Error(`ENOENT: ${from}`));
    }
    this.#files.delete(from);
    this.#files.set(to, file);
    return Promise.resolve();
  }

  remove(name: string): Promise<void> {
    this.#files.delete(name);
    return Promise.resolve();
  }

  syncFolder(): Promise<void> {
    this.#syncedNames = new Map(this.#files);
    return Promise.resolve();
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
    }
  }

  /** Loses all files, as when the disk is replaced. */
  replaceDisk(): void {
    this.crashCount += 1;
    this.#files = new Map();
    this.#syncedNames = new Map();
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
  readonly #file: FakeFile;
  readonly #disk: FakeFileSystem;
  readonly #crashCount: number;

  constructor(file: FakeFile, disk: FakeFileSystem) {
    this.#file = file;
    this.#disk = disk;
    this.#crashCount = disk.crashCount;
  }

  write(bytes: Uint8Array, position: number): Promise<void> {
    if (this.#isGone()) {
      return never();
    }
    if (this.#disk.isFull) {
      return Promise.reject(new Error("ENOSPC: no space left on device"));
    }
    const size = Math.max(this.#file.content.length, position + bytes.length);
    const content = new Uint8Array(size);
    content.set(this.#file.content);
    content.set(bytes, position);
    this.#file.content = content;
    return Promise.resolve();
  }

  async sync(): Promise<void> {
    this.#disk.syncCount += 1;
    await this.#disk.beforeSync?.();
    if (this.#isGone()) {
      return await never();
    }
    if (this.#disk.failsSync) {
      throw new Error("EIO: i/o error");
    }
    this.#file.synced = this.#file.content.slice();
  }

  truncate(sizeBytes: number): Promise<void> {
    if (this.#isGone()) {
      return never();
    }
    this.#file.content = this.#file.content.slice(0, sizeBytes);
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #isGone(): boolean {
    return this.#disk.crashCount !== this.#crashCount;
  }
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
