/** Port for files, so that tests can simulate a failing disk. */

/** An open file. */
export interface OpenFile {
  /** Writes all bytes at a position; throws when the disk fails. */
  write(bytes: Uint8Array, position: number): Promise<void>;
  /** Flushes all written data to disk; throws when the disk fails. */
  sync(): Promise<void>;
  /** Truncates the file to a size in bytes. */
  truncate(sizeBytes: number): Promise<void>;
  /** Closes the file. */
  close(): Promise<void>;
}

/** The files of one data folder; names are relative to the folder. */
export interface FileSystem {
  /** Reads a whole file; returns undefined when it does not exist. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Opens a file for writing; creates it when it does not exist. */
  open(name: string): Promise<OpenFile>;
  /** Renames a file; replaces a file that has the new name. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file, if it exists. */
  remove(name: string): Promise<void>;
  /** Makes created, renamed and removed file names durable. */
  syncFolder(): Promise<void>;
}
