/**
 * Tables of entities and the systems that process them at each tick.
 *
 * A table contains read-only rows by identifier. A system reads tables and replaces rows.
 * The scheduler runs the systems in the order of their registration.
 */

/** A read-only view of a table. */
export interface ReadonlyTable<Row> {
  readonly size: number
  get (id: string): Row | undefined
  has (id: string): boolean
  rows (): IterableIterator<Row>
  entries (): IterableIterator<[string, Row]>
}

/** A table of rows by identifier, in insertion order. */
export class Table<Row> implements ReadonlyTable<Row> {
  private readonly rowsById = new Map<string, Row>()

  get size (): number {
    return this.rowsById.size
  }

  get (id: string): Row | undefined {
    return this.rowsById.get(id)
  }

  has (id: string): boolean {
    return this.rowsById.has(id)
  }

  set (id: string, row: Row): void {
    this.rowsById.set(id, row)
  }

  /** Replaces the row by `change(row)`; has no effect when the row is absent. */
  update (id: string, change: (row: Row) => Row): void {
    const row = this.rowsById.get(id)
    if (row !== undefined) this.rowsById.set(id, change(row))
  }

  delete (id: string): boolean {
    return this.rowsById.delete(id)
  }

  rows (): IterableIterator<Row> {
    return this.rowsById.values()
  }

  entries (): IterableIterator<[string, Row]> {
    return this.rowsById.entries()
  }
}

/** A step that processes tables once per tick. `now` is in monotonic milliseconds. */
export abstract class System {
  abstract run (now: number): void
}

/** Runs the registered systems in the order of their registration. */
export class TickScheduler {
  private systems: readonly System[] = []

  /** Registers `system` after the present ones and returns a function that removes it. */
  registerSystem (system: System): () => void {
    this.systems = [...this.systems, system]
    return () => {
      this.systems = this.systems.filter(other => other !== system)
    }
  }

  tick (now: number): void {
    for (const system of this.systems) system.run(now)
  }
}
