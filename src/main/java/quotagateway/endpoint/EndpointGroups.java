package quotagateway.endpoint;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The zones, their cells, and the serving endpoints of each. A cell of a zone is known by its group
 * number. Owned by the policy's thread.
 */
final class EndpointGroups {

  private static final int NONE = OrderedSlots.NONE;
  private static final OrderedSlots EMPTY = new OrderedSlots(slot -> 0);

  private final EndpointColumns columns;
  private final Map<String, Zone> zones = new HashMap<>();

  /** By group number. */
  private final List<Cell> cells = new ArrayList<>();

  EndpointGroups(EndpointColumns columns) {
    this.columns = columns;
  }

  /** The endpoints of one zone, and its cells. */
  private static final class Zone {
    final String name;
    final OrderedSlots serving;

    /** Group numbers by the numbers that the cells have in this zone. */
    final Int2IntOpenHashMap groups = new Int2IntOpenHashMap();

    Zone(String name, OrderedSlots serving) {
      this.name = name;
      this.serving = serving;
      groups.defaultReturnValue(NONE);
    }
  }

  /** The endpoints of one cell of a zone. */
  private static final class Cell {
    final Zone zone;
    final int numberInZone;

    /** Null until it is asked for: few cells are, and there may be tens of thousands. */
    OrderedSlots serving;

    Cell(Zone zone, int numberInZone) {
      this.zone = zone;
      this.numberInZone = numberInZone;
    }
  }

  /** The group number of a cell; a new one gets the next higher number, the first one 0. */
  int number(String zoneName, int cell) {
    Zone zone = zones.get(zoneName);
    if (zone == null) {
      zone = new Zone(zoneName, new OrderedSlots(columns::id));
      zones.put(zoneName, zone);
    }
    int known = zone.groups.get(cell);
    if (known != NONE) {
      return known;
    }
    int added = cells.size();
    zone.groups.put(cell, added);
    cells.add(new Cell(zone, cell));
    return added;
  }

  String zone(int group) {
    return cells.get(group).zone.name;
  }

  int cell(int group) {
    return cells.get(group).numberInZone;
  }

  /** The serving endpoints of a zone, by identifier. */
  OrderedSlots inZone(String zoneName) {
    Zone zone = zones.get(zoneName);
    return zone == null ? EMPTY : zone.serving;
  }

  /** The serving endpoints of a cell of a zone, by identifier. */
  OrderedSlots inCell(String zoneName, int cell) {
    Zone zone = zones.get(zoneName);
    int group = zone == null ? NONE : zone.groups.get(cell);
    return group == NONE ? EMPTY : inCell(cells.get(group));
  }

  /** The first call for a cell looks through its zone. */
  private OrderedSlots inCell(Cell cell) {
    if (cell.serving == null) {
      cell.serving = new OrderedSlots(columns::id);
      OrderedSlots inZone = cell.zone.serving;
      for (int i = 0; i < inZone.size(); i++) {
        int slot = inZone.get(i);
        if (cells.get(columns.group(slot)) == cell) {
          cell.serving.add(slot);
        }
      }
    }
    return cell.serving;
  }

  /** An endpoint serves from now on, in the group that the columns give. */
  void join(int slot) {
    Cell cell = cells.get(columns.group(slot));
    cell.zone.serving.add(slot);
    if (cell.serving != null) {
      cell.serving.add(slot);
    }
  }

  /** An endpoint of the group that the columns still give serves no more, or leaves the group. */
  void leave(int slot) {
    Cell cell = cells.get(columns.group(slot));
    cell.zone.serving.remove(slot);
    if (cell.serving != null) {
      cell.serving.remove(slot);
    }
  }
}
