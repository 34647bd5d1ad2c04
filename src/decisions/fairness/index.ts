/** Divides scarce permits among teams. */
export * from "./heap.ts";
export * from "./share_allocator.ts";
