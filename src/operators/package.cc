// Keeps the library's archive from being empty until its first part lands.
namespace fireflyspar::operators {}
