/** File system port on top of `node:fs`. */
import {
  type FileHandle,
  mkdir,
  open,
  readFile,
  rename,
  rm,
} from "node:fs/promises";
import { constants } from "node:fs";
import { join } from "node:path";
import type { FileSystem, OpenFile } from "../../ports/index.ts";

const FILE_MODE = 0o600;
const FOLDER_MODE = 0o700;

/** Accesses the files in one folder of the local disk. */
export class NodeFileSystem implements FileSystem {
  readonly #folder: string;

  /** @param folder - Path of an existing data folder. */
  constructor(folder: string) {
    this.#folder = folder;
  }

  /**
   * Opens a data folder, creating it if it does not exist.
   *
   * @param folder - Path of the data folder.
   * @returns The file system of that folder.
   */
  static async load(folder: string): Promise<NodeFileSystem> {
    await mkdir(folder, { recursive: true, mode: FOLDER_MODE });
    return new NodeFileSystem(folder);
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(join(this.#folder, name));
    } catch (error) {
      if (isNotFound(error)) {
        return undefined;
      }
      throw error;
    }
  }

  async open(name: string): Promise<OpenFile> {
    const flags = constants.O_RDWR | constants.O_CREAT;
    return new NodeOpenFile(
      await open(join(this.#folder, name), flags, FILE_MODE),
    );
  }

  async rename(from: string, to: string): Promise<void> {
    await rename(join(this.#folder, from), join(this.#folder, to));
  }

  async remove(name: string): Promise<void> {
    await rm(join(this.#folder, name), { force: true });
  }

  async syncFolder(): Promise<void> {
    const handle = await open(this.#folder, constants.O_RDONLY);
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

class NodeOpenFile implements OpenFile {
  readonly #handle: FileHandle;

  constructor(handle: FileHandle) {
    this.#handle = handle;
  }

  async write(bytes: Uint8Array, position: number): Promise<void> {
    let writtenBytes = 0;
    while (writtenBytes < bytes.length) {
      const left = bytes.length - writtenBytes;
      const { bytesWritten } = await this.#handle.write(
        bytes,
        writtenBytes,
        left,
        position + writtenBytes,
      );
      writtenBytes += bytesWritten;
    }
  }

  async sync(): Promise<void> {
    await this.#handle.datasync();
  }

  async truncate(sizeBytes: number): Promise<void> {
    await this.#handle.truncate(sizeBytes);
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}

function isNotFound(error: unknown): boolean {
  return error instanceof Error && "code" in error && error.code === "ENOENT";
}
