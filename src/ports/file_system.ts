/** Files, as the disk adapters see them, so that tests can make a disk fail. */

/** An open file. */
export interface OpenFile {
  /** Writes all bytes at a position; throws when the disk refuses. */
  write(bytes: Uint8Array, position: number): Promise<void>;
  /** Makes everything written durable; throws when the disk cannot. */
  sync(): Promise<void>;
  /** Cuts the file to a size. */
  truncate(sizeBytes: number): Promise<void>;
  /** Closes the file. */
  close(): Promise<void>;
}

/** Files below one data folder, named without the folder. */
export interface FileSystem {
  /** Reads a whole file, or returns undefined when there is none. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Opens a file for writing, creating it when there is none. */
  open(name: string): Promise<OpenFile>;
  /** Renames a file over another. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file, if it exists. */
  remove(name: string): Promise<void>;
  /** Makes names durable: created, renamed and removed files. */
  syncFolder(): Promise<void>;
}
