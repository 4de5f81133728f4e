package quotagateway.endpoint;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The zones and their cells, with the serving endpoints of each. A cell of a zone is identified by
 * its group number. Owned by the policy's thread.
 */
final class EndpointGroups {

  private static final int NONE = OrderedSlots.NONE;
  private static final OrderedSlots EMPTY = new OrderedSlots(slot -> 0);

  private final EndpointColumns columns;
  private final Map<String, Zone> zones = new HashMap<>();

  /** Cells by group number. */
  private final List<Cell> cells = new ArrayList<>();

  EndpointGroups(EndpointColumns columns) {
    this.columns = columns;
  }

  /** The serving endpoints and the cells of one zone. */
  private static final class Zone {
    final String name;
    final OrderedSlots serving;

    /** Group numbers by cell number within this zone. */
    final Int2IntOpenHashMap groupsByCell = new Int2IntOpenHashMap();

    Zone(String name, OrderedSlots serving) {
      this.name = name;
      this.serving = serving;
      groupsByCell.defaultReturnValue(NONE);
    }
  }

  /** The serving endpoints of one cell of a zone. */
  private static final class Cell {
    final Zone zone;
    final int cellNumber;

    /** Null until first use, because few of possibly tens of thousands of cells are ever used. */
    OrderedSlots serving;

    Cell(Zone zone, int cellNumber) {
      this.zone = zone;
      this.cellNumber = cellNumber;
    }
  }

  /** Returns the group number of a cell. New groups are numbered consecutively from 0. */
  int groupNumber(String zoneName, int cell) {
    Zone zone = zones.get(zoneName);
    if (zone == null) {
      zone = new Zone(zoneName, new OrderedSlots(columns::id));
      zones.put(zoneName, zone);
    }
    int existing = zone.groupsByCell.get(cell);
    if (existing != NONE) {
      return existing;
    }
    int newGroup = cells.size();
    zone.groupsByCell.put(cell, newGroup);
    cells.add(new Cell(zone, cell));
    return newGroup;
  }

  String zone(int group) {
    return cells.get(group).zone.name;
  }

  int cell(int group) {
    return cells.get(group).cellNumber;
  }

  /** Returns the serving endpoints of a zone, ordered by identifier. */
  OrderedSlots servingInZone(String zoneName) {
    Zone zone = zones.get(zoneName);
    return zone == null ? EMPTY : zone.serving;
  }

  /** Returns the serving endpoints of a cell of a zone, ordered by identifier. */
  OrderedSlots servingInCell(String zoneName, int cell) {
    Zone zone = zones.get(zoneName);
    int group = zone == null ? NONE : zone.groupsByCell.get(cell);
    return group == NONE ? EMPTY : servingInCell(cells.get(group));
  }

  /** Returns the serving endpoints of a cell. The first call for a cell scans its zone. */
  private OrderedSlots servingInCell(Cell cell) {
    if (cell.serving == null) {
      cell.serving = new OrderedSlots(columns::id);
      OrderedSlots zoneServing = cell.zone.serving;
      for (int i = 0; i < zoneServing.size(); i++) {
        int slot = zoneServing.get(i);
        if (cells.get(columns.group(slot)) == cell) {
          cell.serving.add(slot);
        }
      }
    }
    return cell.serving;
  }

  /** Adds an endpoint that now serves to its group, as given by the columns. */
  void addServing(int slot) {
    Cell cell = cells.get(columns.group(slot));
    cell.zone.serving.add(slot);
    if (cell.serving != null) {
      cell.serving.add(slot);
    }
  }

  /**
   * Removes an endpoint that stops serving or changes its group. The columns must still contain the
   * old group.
   */
  void removeServing(int slot) {
    Cell cell = cells.get(columns.group(slot));
    cell.zone.serving.remove(slot);
    if (cell.serving != null) {
      cell.serving.remove(slot);
    }
  }
}
