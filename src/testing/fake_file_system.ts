/** Files in memory that lose what was not synced when they crash. */
import type { FileSystem, OpenFile } from "../ports/index.ts";

interface FakeFile {
  /** What a process reads now. */
  content: Uint8Array;
  /** What is left after a crash. */
  synced: Uint8Array;
}

/** Files whose disk can fill up, refuse a sync, or crash. */
export class FakeFileSystem implements FileSystem {
  #files = new Map<string, FakeFile>();
  #syncedNames = new Map<string, FakeFile>();
  /** Makes every sync fail. */
  failsSync = false;
  /** Makes every write fail, as on a full disk. */
  isFull = false;
  /** Syncs so far, to tell what an append costs. */
  syncCount = 0;

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
   * Loses what was not synced.
   *
   * @param keptBytes - Bytes of unsynced appends that reached the disk anyway.
   */
  crash(keptBytes = 0): void {
    this.#files = new Map(this.#syncedNames);
    for (const file of this.#files.values()) {
      const torn = file.content.slice(0, file.synced.length + keptBytes);
      const isAppend = file.content.length > file.synced.length;
      file.content = isAppend && keptBytes > 0 ? torn : file.synced.slice();
      file.synced = file.content.slice();
    }
  }

  /** Overwrites a byte, as a failing disk does. */
  damage(name: string, offset: number): void {
    const file = this.#files.get(name);
    if (file === undefined || offset >= file.content.length) {
      throw new Error(`there is no byte ${offset} in ${name}`);
    }
    file.content[offset] = (file.content[offset] ?? 0) ^ 0xff;
  }
}

class FakeOpenFile implements OpenFile {
  readonly #file: FakeFile;
  readonly #disk: FakeFileSystem;

  constructor(file: FakeFile, disk: FakeFileSystem) {
    this.#file = file;
    this.#disk = disk;
  }

  write(bytes: Uint8Array, position: number): Promise<void> {
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

  sync(): Promise<void> {
    this.#disk.syncCount += 1;
    if (this.#disk.failsSync) {
      return Promise.reject(new Error("EIO: i/o error"));
    }
    this.#file.synced = this.#file.content.slice();
    return Promise.resolve();
  }

  truncate(sizeBytes: number): Promise<void> {
    this.#file.content = this.#file.content.slice(0, sizeBytes);
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
